package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.work.OutputKey
import org.shallotplank.core.work.ReportedWork
import org.shallotplank.core.work.RequestCost
import org.shallotplank.core.work.RequestSize
import org.shallotplank.core.work.UpstreamWork
import org.shallotplank.core.work.WorkRouting
import org.shallotplank.core.work.costOf
import org.shallotplank.core.work.timePerToken

/** Events that an attempt received so far. */
public data class AttemptProgress(val attempt: Int, val events: Int)

/**
 * Load of an upstream as far as this entry knows it, seen from a call that may go there.
 *
 * @property requests requests of all entries in flight.
 * @property overlapping the same requests, each weighted by the part of the call's own time during
 *   which it is expected to run still.
 * @property timeLeft expected work that these requests have left.
 * @property unreadTime time of reading the prompts that this entry sent and that are not read yet.
 * @property memoryTokens memory that the requests need at their end.
 */
public data class UpstreamLoad(
    val requests: Int,
    val overlapping: Double,
    val timeLeft: Duration,
    val unreadTime: Duration,
    val memoryTokens: Double
)

/** Whether upstreams of [service] are chosen by expected work. */
public fun GatewayState.usesWork(service: ServiceName): Boolean = when (settings.workRouting) {
    WorkRouting.ON -> true
    WorkRouting.OFF -> false
    WorkRouting.AUTO -> service in work.dispersed && service(service)?.engine != null
}

/** Whether any service needs [GatewayEvent.StreamsProgressed]. */
public val GatewayState.needsProgress: Boolean
    get() = routesInForce.services.keys.any(::usesWork)

/** [call] with the work that is expected of it now. */
internal fun GatewayState.withExpectedCost(call: GatewayCall): GatewayCall =
    call.copy(cost = expectedCost(call))

/** Expected work of [call], or null if too little is known of it. */
internal fun GatewayState.expectedCost(call: GatewayCall): RequestCost? {
    val engine = service(call.service)?.engine
    val size = call.request.size
    if (engine == null || call.route.kind != RequestKind.STREAM) {
        return work.processing
            .expectedTokens(call.route.name, call.customer, RequestSize(), usualTokens = null)
            ?.let { RequestCost(Duration.ZERO, it.milliseconds) }
    }
    return work.outputs
        .expectedTokens(call.route.name, call.customer, size, engine.usualAnswerTokens)
        ?.let { engine.costOf(size, it) }
}

/** Records events that arrived for open attempts. */
internal fun GatewayState.onStreamsProgressed(
    progress: PersistentMap<RequestId, AttemptProgress>
): GatewayState = copy(
    calls = calls.mutate { map ->
        for ((id, received) in progress) {
            val call = map[id] ?: continue
            val sent = call.phase as? GatewayPhase.Sent ?: continue
            if (sent.attempt == received.attempt) {
                map[id] = call.copy(phase = sent.copy(events = received.events))
            }
        }
    }
)

/**
 * Learns from the complete answer of [call].
 *
 * Only answers of a single attempt count, since a resumed stream does not show its whole length.
 */
internal fun GatewayState.learnAnswer(
    call: GatewayCall,
    sent: GatewayPhase.Sent,
    event: GatewayEvent.AnswerEnded,
    now: Instant
): GatewayState {
    if (call.attemptsSent != 1 || event.status !in SUCCESSES) return this
    val engine = service(call.service)?.engine
    if (engine == null || call.route.kind != RequestKind.STREAM) {
        return copy(
            work = work.withProcessing(call.route.name, call.customer, now - sent.sentAt)
        )
    }
    if (event.events <= 0) return this
    val learned = work.withAnswer(
        service = call.service,
        key = OutputKey(call.route.name, call.customer),
        tokens = event.events.toDouble() * engine.eventStride,
        hintTokens = call.request.size.hintTokens,
        expected = call.cost?.outputTokens
    )
    return copy(work = learned)
}

/** Work that this entry's own requests have left at each upstream. */
public fun GatewayState.ownWork(now: Instant): Map<UpstreamKey, UpstreamWork> =
    sentCalls.mapValues { (_, calls) ->
        UpstreamWork(
            requests = calls.size,
            timeLeft = calls.fold(Duration.ZERO) { sum, call -> sum + timeLeftOf(call, now) },
            memoryTokens = calls.sumOf { memoryOf(it) }
        )
    }

/**
 * What this entry reports of the work of its requests; null while it has nothing to report.
 *
 * The work left is part of it only where it is in effect.
 */
public fun GatewayState.workToReport(now: Instant): ReportedWork? {
    val upstreamWork = if (needsProgress) {
        ownWork(now).filterKeys { key ->
            upstreams[key]?.let { usesWork(it.record.service) } == true
        }
    } else {
        emptyMap()
    }
    return ReportedWork(now, work.lengths, upstreamWork.toPersistentMap())
        .takeIf { it.lengths.isNotEmpty() || it.upstreams.isNotEmpty() }
}

/** The load of [upstream], seen from [call]. */
public fun GatewayState.loadAt(
    upstream: GatewayUpstream,
    call: GatewayCall,
    now: Instant
): UpstreamLoad {
    val own = sentCalls[upstream.key].orEmpty()
    val usual = usualTime(call.service)
    val length = call.cost?.generateTime ?: usual
    val ownLeft = own.map { timeLeftOf(it, now) }
    val reported = work.reportedAt(upstream.key, now)
    val uncounted = (upstream.othersOutstanding - reported.sumOf { it.requests }).coerceAtLeast(0)
    val reportedOverlap = reported.sumOf { it.requests * overlap(it.meanLeft, length) }
    return UpstreamLoad(
        requests = upstream.totalOutstanding,
        overlapping = ownLeft.sumOf { left -> overlap(left, length) } + reportedOverlap +
            uncounted * overlap(usual, length),
        timeLeft = ownLeft.fold(Duration.ZERO, Duration::plus) +
            reported.fold(Duration.ZERO) { sum, one -> sum + one.timeLeft } + usual * uncounted,
        unreadTime = unreadTimeAt(upstream.key),
        memoryTokens = own.sumOf { memoryOf(it) } + reported.sumOf { it.memoryTokens } +
            uncounted * usualMemory(call.service)
    )
}

/** When the oldest report was made that [loadAt] counts for [upstream]; null without one. */
public fun GatewayState.workReportedAt(upstream: UpstreamKey, now: Instant): Instant? =
    work.oldestReportAt(upstream, now)

private val UpstreamWork.meanLeft: Duration get() = timeLeft / requests.coerceAtLeast(1)

private fun overlap(left: Duration, length: Duration): Double =
    if (length <= Duration.ZERO) 1.0 else (left / length).coerceIn(0.0, 1.0)

/**
 * Cost of an upstream by the number of its requests and by the prompts that it has yet to read.
 *
 * A prompt counts as the number of generating requests that lengthen an iteration of the group as
 * much. Same as [defaultUpstreamCost] while work-based routing is not in effect, nothing is known
 * of the call's work, or no prompt is unread.
 */
internal fun usualUpstreamCost(
    state: GatewayState,
    upstream: GatewayUpstream,
    call: GatewayCall,
    now: Instant
): UpstreamCostTerms {
    if (call.cost == null || !state.usesWork(call.service)) {
        return defaultUpstreamCost(state, upstream, call, now)
    }
    val prompts = state.promptsAsRequests(call.service, state.unreadTimeAt(upstream.key))
    return workUpstreamCost(state, upstream, call, now, upstream.totalOutstanding + prompts)
}

/** Number of generating requests that lengthen an iteration as much as reading for [time]. */
public fun GatewayState.promptsAsRequests(service: ServiceName, time: Duration): Double {
    val engine = service(service)?.engine ?: return 0.0
    return time / (engine.timePerToken * engine.eventStride.coerceAtLeast(1))
}

/**
 * Whether the memory of [upstream] has room for [call].
 *
 * True if the capacity is not published, or the work of requests is not in effect.
 */
internal fun GatewayState.hasMemoryFor(
    upstream: GatewayUpstream,
    call: GatewayCall,
    now: Instant
): Boolean {
    val capacity = service(call.service)?.engine?.memoryTokens ?: return true
    val cost = call.cost?.takeIf { usesWork(call.service) } ?: return true
    return loadAt(upstream, call, now).memoryTokens + cost.memoryTokens <= capacity
}

private fun GatewayState.timeLeftOf(call: GatewayCall, now: Instant): Duration {
    val cost = call.cost ?: return usualTime(call.service)
    val sent = call.phase as? GatewayPhase.Sent ?: return cost.generateTime
    val engine = service(call.service)?.engine
    if (engine == null || cost.outputTokens <= 0.0) {
        return (cost.generateTime - (now - sent.sentAt)).atLeastRest(cost)
    }
    val received = (call.earlierEvents + sent.events) * engine.eventStride
    val left = 1 - received / cost.outputTokens
    val most = call.request.size.maxOutputTokens?.let { (it - received) / cost.outputTokens }
    val rest = (cost.generateTime * left).atLeastRest(cost)
    return if (most == null) rest else minOf(rest, cost.generateTime * most.coerceAtLeast(0.0))
}

/** An answer that is longer than expected is expected to go on for a while. */
private fun Duration.atLeastRest(cost: RequestCost): Duration =
    coerceAtLeast(cost.generateTime * REST_SHARE)

internal fun GatewayState.unreadTimeAt(upstream: UpstreamKey): Duration =
    sentCalls[upstream].orEmpty().fold(Duration.ZERO) { sum, call -> sum + unreadTimeOf(call) }

private fun GatewayState.unreadTimeOf(call: GatewayCall): Duration {
    val sent = call.phase as? GatewayPhase.Sent
    val isRead = sent?.begunAt != null || (sent?.events ?: 0) > 0
    return call.cost?.readTime?.takeIf { !isRead } ?: Duration.ZERO
}

private fun GatewayState.memoryOf(call: GatewayCall): Double =
    call.cost?.memoryTokens ?: usualMemory(call.service)

/** Expected time of a request of which nothing is known. */
private fun GatewayState.usualTime(service: ServiceName): Duration {
    val engine = service(service)?.engine ?: return UNKNOWN_TIME
    return usualTokens(service)?.let { engine.costOf(RequestSize(), it).generateTime }
        ?: UNKNOWN_TIME
}

private fun GatewayState.usualTokens(service: ServiceName): Double? =
    service(service)?.engine?.usualAnswerTokens?.toDouble() ?: work.lengths[service]?.mean

private fun GatewayState.usualMemory(service: ServiceName): Double =
    (service(service)?.engine?.usualPromptTokens ?: 0) + (usualTokens(service) ?: 0.0)

private val SUCCESSES = 200..299

/** Part of its expected work that a request has left at least while it runs. */
private const val REST_SHARE = 0.25

/** Only compared with itself, if neither published nor observed lengths are known. */
private val UNKNOWN_TIME = 100.milliseconds
