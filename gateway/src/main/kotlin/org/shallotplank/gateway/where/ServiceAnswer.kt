package org.shallotplank.gateway.where

import kotlin.time.DurationUnit
import kotlin.time.Instant
import org.shallotplank.core.gateway.AdmissionExplanation
import org.shallotplank.core.gateway.ExcludedUpstream
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.GatewayUpstream
import org.shallotplank.core.gateway.ServiceExplanation
import org.shallotplank.core.gateway.UpstreamCandidate
import org.shallotplank.core.gateway.UpstreamExclusion
import org.shallotplank.core.gateway.workReportedAt

/** This explanation with at most [limit] candidates and as many excluded upstreams. */
internal fun ServiceExplanation.answered(
    state: GatewayState,
    now: Instant,
    limit: Int
): WhereService {
    val candidates = choice.candidates.sortedBy { it.cost.total }
    return WhereService(
        service = target.service.value,
        weight = target.weight,
        drawn = isDrawn,
        priority = priority,
        admission = admission.answered(),
        byWork = isByWork,
        readMillis = cost?.readTime?.toDouble(DurationUnit.MILLISECONDS),
        generateMillis = cost?.generateTime?.toDouble(DurationUnit.MILLISECONDS),
        outputTokens = cost?.outputTokens,
        drawnAmong = choice.drawnAmong.sortedBy { it.cost.total }
            .take(limit)
            .map { it.upstream.record.id.value },
        candidates = candidates.take(limit).map { it.answered(state, now) },
        candidatesLeftOut = (candidates.size - limit).coerceAtLeast(0),
        excludedByReason = choice.excluded.groupingBy { it.reason.name }.eachCount(),
        excluded = choice.excluded.take(limit).map { it.answered(state, now) },
        excludedLeftOut = (choice.excluded.size - limit).coerceAtLeast(0)
    )
}

private fun AdmissionExplanation.answered() = WhereAdmission(
    outcome = outcome.name,
    refusal = refusal?.name,
    refusedBy = refusedBy?.name,
    capacity = capacity,
    running = running,
    waiting = waiting,
    reserved = reserved,
    expectedWaitMillis = expectedWait.inWholeMilliseconds,
    longestWaitMillis = longestWait.inWholeMilliseconds
)

private fun UpstreamCandidate.answered(state: GatewayState, now: Instant) = WhereCandidate(
    upstream = upstream.answered(state, now),
    cost = cost.total,
    load = cost.load,
    countedRequests = cost.requests,
    zoneCost = cost.zone,
    fullCost = cost.full,
    notPreferredCost = cost.notPreferred,
    connectingCost = cost.connecting
)

private fun ExcludedUpstream.answered(state: GatewayState, now: Instant): WhereExcluded {
    val endsAt = when (reason) {
        UpstreamExclusion.PAUSED -> upstream.notice.pausedUntil
        UpstreamExclusion.BACKOFF -> upstream.blockedUntil
        else -> null
    }
    return WhereExcluded(
        upstream = upstream.answered(state, now),
        reason = reason.name,
        endsInMillis = endsAt?.let { (it - now).inWholeMilliseconds }
    )
}

private fun GatewayUpstream.answered(state: GatewayState, now: Instant) = WhereUpstream(
    id = record.id.value,
    incarnation = record.incarnation,
    zone = record.zone.value,
    group = record.group?.name,
    rank = record.group?.rank,
    slots = record.slots,
    own = outstanding,
    others = othersOutstanding,
    slowdown = slowdown,
    allowed = slow?.slots,
    answerAgeMillis = lastAnswerHeadAt.takeIf { it > Instant.DISTANT_PAST }?.let(now::ageOf),
    requestsPerSecond = notice.rate?.requestsPerSecond,
    limitAgeMillis = notice.rate?.let { now.ageOf(it.observedAt) },
    workReportAgeMillis = state.workReportedAt(key, now)?.let(now::ageOf)
)
