package org.shallotplank.core.routing

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ZoneName

/**
 * Chooses the upstream for one request from a sample of [candidates].
 *
 * Samples a few eligible candidates at random (power of d choices) and adds one that is expected to
 * have the prompt prefix cached. Of these it chooses the one with the lowest [score].
 * Returns a decision without a chosen upstream when no candidate is eligible.
 *
 * The caller bounds the number of [candidates] with
 * [CandidateSelection][org.shallotplank.core.membership.CandidateSelection], so that the cost does
 * not grow with the number of upstreams.
 */
public fun chooseUpstream(
    candidates: PersistentList<UpstreamView>,
    request: RoutingRequest,
    now: Instant,
    random: Random
): RoutingDecision {
    val sample = sample(candidates, request, now, random)
    val cached = cachedCandidate(candidates, request, now, random)
    val eligible = (sample.eligible + listOfNotNull(cached)).distinctBy { it.id }
    val triedZones = triedZones(candidates, request)
    val scored = eligible.map { it to it.considered(request, it.zone in triedZones, now) }
    val chosen = scored.minByOrNull { (_, considered) -> considered.score }?.first
    val considered = scored.map { it.second } + sample.rejected
    return RoutingDecision(chosen?.id, considered.toPersistentList())
}

/** Eligible and rejected candidates that [sample] examined. */
private class Sample(val eligible: List<UpstreamView>, val rejected: List<Considered>)

/** Examines the candidates in random order until [SAMPLE_SIZE] eligible ones are found. */
private fun sample(
    candidates: PersistentList<UpstreamView>,
    request: RoutingRequest,
    now: Instant,
    random: Random
): Sample {
    val eligible = mutableListOf<UpstreamView>()
    val rejected = mutableListOf<Considered>()
    val order = IntArray(candidates.size) { it }
    for (position in order.indices) {
        if (eligible.size == SAMPLE_SIZE) break
        val candidate = candidates[order.drawInto(position, random)]
        val reason = candidate.rejection(request, now)
        if (reason == null) {
            eligible += candidate
        } else {
            rejected += Considered(candidate.id, Double.POSITIVE_INFINITY, reason)
        }
    }
    return Sample(eligible, rejected)
}

/** One step of a Fisher-Yates shuffle: swaps a random later element into [position]. */
private fun IntArray.drawInto(position: Int, random: Random): Int {
    val drawn = random.nextInt(position, size)
    val value = this[drawn]
    this[drawn] = this[position]
    this[position] = value
    return value
}

private fun cachedCandidate(
    candidates: PersistentList<UpstreamView>,
    request: RoutingRequest,
    now: Instant,
    random: Random
): UpstreamView? {
    val prefix = request.prefix ?: return null
    val holders = candidates.filter {
        prefix in it.cachedPrefixes && it.rejection(request, now) == null
    }
    return if (holders.isEmpty()) null else holders[random.nextInt(holders.size)]
}

/** Zones of earlier attempts of the request; a retry prefers another failure domain. */
private fun triedZones(
    candidates: PersistentList<UpstreamView>,
    request: RoutingRequest
): Set<ZoneName> {
    if (request.excluded.isEmpty()) return emptySet()
    return candidates.filter { it.id in request.excluded }.mapTo(mutableSetOf()) { it.zone }
}

private fun UpstreamView.considered(
    request: RoutingRequest,
    isZoneTried: Boolean,
    now: Instant
): Considered {
    val reason = when {
        request.prefix != null && request.prefix in cachedPrefixes -> RoutingReason.CACHED_PREFIX
        utilization(now) > 1.0 -> RoutingReason.FULL
        else -> RoutingReason.LOAD
    }
    val retryCost = if (isZoneTried) TRIED_ZONE_COST else 0.0
    return Considered(id, score(request, now) + retryCost, reason)
}

/** Number of sampled eligible candidates whose scores are compared. */
private const val SAMPLE_SIZE = 3

/** Extra utilization that a retry accepts to leave the availability zone of an earlier attempt. */
private const val TRIED_ZONE_COST = 0.5
