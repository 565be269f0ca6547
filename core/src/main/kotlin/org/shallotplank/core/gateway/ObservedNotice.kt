package org.shallotplank.core.gateway

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.shallotplank.core.ServiceName
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * What one incarnation of an upstream asked for in its answers.
 *
 * @property isLeaving whether it takes no further requests; never taken back.
 * @property pausedUntil before that, it wants nothing from this entry.
 */
public data class ObservedNotice(
    val isLeaving: Boolean = false,
    val pausedUntil: Instant = Instant.DISTANT_PAST
) {
    internal fun acceptsRequests(now: Instant): Boolean = !isLeaving && now >= pausedUntil
}

/** Whether a connection to [key] that has just been made may still be used. */
public fun GatewayState.acceptsRequests(key: UpstreamKey, now: Instant): Boolean =
    notices[key]?.acceptsRequests(now) ?: true

/**
 * Follows what an upstream said of itself with an answer.
 *
 * That it leaves holds for its incarnation for good, whatever the store says then. A pause is kept
 * until the latest end that it named.
 */
internal fun GatewayState.onUpstreamNotice(
    event: GatewayEvent.UpstreamNotice,
    context: GatewayContext
): GatewayStep {
    val left = if (event.isLeaving) markLeaving(setOf(event.upstream), "answer") else Step(this)
    return left.then { it.withPause(event, context) }
        .then { it.resizeQueues(context) }
        .then { it.refusePaused(event.upstream, context) }
}

private fun GatewayState.withPause(
    event: GatewayEvent.UpstreamNotice,
    context: GatewayContext
): GatewayStep {
    val pause = event.pause ?: return Step(this)
    val upstream = upstreams[event.upstream]
    val record = logRecord(
        LogEvent.GATEWAY_UPSTREAM_PAUSED,
        "upstream" to event.upstream,
        "service" to upstream?.record?.service,
        "pause_ms" to pause.inWholeMilliseconds,
        "outstanding" to upstream?.outstanding
    )
    return withNotice(event.upstream) {
        it.copy(pausedUntil = maxOf(it.pausedUntil, context.now + pause))
    }.logged(record)
}

/** Uses [leaving] no more; [source] tells in the log who said so. */
internal fun GatewayState.markLeaving(leaving: Set<UpstreamKey>, source: String): GatewayStep =
    leaving.filter { notices[it]?.isLeaving != true }.fold(GatewayStep(this)) { step, key ->
        step.then { state ->
            state.withNotice(key) { it.copy(isLeaving = true) }.logged(leavingRecord(key, source))
        }
    }

private fun GatewayState.leavingRecord(key: UpstreamKey, source: String): LogRecord = logRecord(
    LogEvent.GATEWAY_UPSTREAM_LEAVING,
    "upstream" to key,
    "service" to upstreams[key]?.record?.service,
    "source" to source,
    "outstanding" to upstreams[key]?.outstanding
)

private fun GatewayState.withNotice(
    key: UpstreamKey,
    change: (ObservedNotice) -> ObservedNotice
): GatewayState {
    val notice = change(notices[key] ?: ObservedNotice())
    val kept = notices.put(key, notice).withoutOldest()
    return copy(notices = kept).update(key) { it.copy(notice = notice) }
}

private fun PersistentMap<UpstreamKey, ObservedNotice>.withoutOldest() =
    if (size <= MAX_NOTICES) this else mutate { it.remove(it.keys.first()) }

/** When the first upstream of [service] is willing again, null unless pauses alone prevent it. */
internal fun GatewayState.resumesAt(service: ServiceName, context: GatewayContext): Instant? {
    if (hasUsable(service, context)) return null
    return upstreamsOf(service)
        .filter { isInService(it) && it.isNotLeaving && it.notice.pausedUntil > context.now }
        .minOfOrNull { it.notice.pausedUntil }
}

/** Refuses what waits for a service whose upstreams all pause for longer than it may wait. */
private fun GatewayState.refusePaused(upstream: UpstreamKey, context: GatewayContext): GatewayStep {
    val service = upstreams[upstream]?.record?.service ?: return Step(this)
    val resumesAt = resumesAt(service, context) ?: return Step(this)
    val queue = queues[service] ?: return Step(this)
    val waiting = calls.values.filter {
        it.service == service &&
            queue.isWaiting(it.request.id) &&
            startBy(it, context) < resumesAt
    }
    return waiting.fold(GatewayStep(this)) { step, call ->
        step.then { it.endWithoutAnswer(call, GatewayRefusal.UPSTREAMS_PAUSED, context) }
    }
}

/** Bounds the memory of notices; more than there are upstreams that leave or pause at a time. */
private const val MAX_NOTICES = 1_024
