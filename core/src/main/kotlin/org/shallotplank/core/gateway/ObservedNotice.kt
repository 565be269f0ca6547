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
 * What one incarnation of an upstream announced about itself in its answers.
 *
 * @property isLeaving whether it accepts no further requests; stays true once set.
 * @property pausedUntil end of the time for which it asked this entry to send nothing.
 * @property rate limit on the requests of all entries together, null if it never named one.
 */
public data class ObservedNotice(
    val isLeaving: Boolean = false,
    val pausedUntil: Instant = Instant.DISTANT_PAST,
    val rate: ObservedRate? = null
) {
    internal fun acceptsRequests(now: Instant): Boolean = !isLeaving && now >= pausedUntil
}

/**
 * Whether [key] still accepts requests at [now].
 *
 * Checked again after a connection is made, since a notice may arrive in the meantime.
 */
public fun GatewayState.acceptsRequests(key: UpstreamKey, now: Instant): Boolean =
    notices[key]?.acceptsRequests(now) ?: true

/**
 * Applies what an upstream announced about itself with an answer.
 *
 * Leaving is final for its incarnation, whatever the store lists later. If the upstream announces
 * several pauses, the latest end applies.
 */
internal fun GatewayState.onUpstreamNotice(
    event: GatewayEvent.UpstreamNotice,
    context: GatewayContext
): GatewayStep {
    val left = if (event.isLeaving) markLeaving(setOf(event.upstream), "answer") else Step(this)
    return left.then { it.withPause(event, context) }
        .then { it.retainNotice(event.upstream, before = notices[event.upstream]) }
        .then { it.resizeQueues(context) }
        .then { it.refusePaused(event.upstream, context) }
}

private fun GatewayState.retainNotice(key: UpstreamKey, before: ObservedNotice?): GatewayStep =
    if (notices[key] == before) Step(this) else effect(GatewayEffect.RetainNotice(key))

/** Applies what upstreams announced before this entry started, or to entries that have ended. */
internal fun GatewayState.onNoticesRetained(
    retained: PersistentMap<UpstreamKey, ObservedNotice>,
    context: GatewayContext
): GatewayStep {
    val paused = retained.filterValues { it.pausedUntil > context.now }
    val rates = retained.mapNotNull { (key, notice) -> notice.rate?.let { key to it } }.toMap()
    return markLeaving(retained.filterValues { it.isLeaving }.keys, "store")
        .then { it.onUpstreamRatesLearned(rates, context, source = "store") }
        .then { state ->
            paused.entries.fold(GatewayStep(state)) { step, (key, notice) ->
                step.map {
                    it.withNotice(key) { known ->
                        known.copy(pausedUntil = maxOf(known.pausedUntil, notice.pausedUntil))
                    }
                }
            }
        }
        .then { it.resizeQueues(context) }
        .then { state ->
            paused.keys.fold(GatewayStep(state)) { step, key ->
                step.then { it.refusePaused(key, context) }
            }
        }
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

/** Marks the upstreams in [leaving] as leaving; [source] names the origin of this in the log. */
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

internal fun GatewayState.withNotice(
    key: UpstreamKey,
    change: (ObservedNotice) -> ObservedNotice
): GatewayState {
    val notice = change(notices[key] ?: ObservedNotice())
    val kept = notices.put(key, notice).withoutOldest()
    return copy(notices = kept).update(key) { it.copy(notice = notice) }
}

private fun PersistentMap<UpstreamKey, ObservedNotice>.withoutOldest() =
    if (size <= MAX_NOTICES) this else mutate { it.remove(it.keys.first()) }

/**
 * Earliest end of a pause among the upstreams of [service].
 *
 * Ignores upstreams that are leaving or out of service. Null if an upstream is usable or none is
 * paused.
 */
internal fun GatewayState.firstPauseEndsAt(
    service: ServiceName,
    context: GatewayContext
): Instant? {
    if (hasUsableUpstream(service, context)) return null
    return upstreamsOf(service)
        .filter { isInService(it) && it.isNotLeaving && it.notice.pausedUntil > context.now }
        .minOfOrNull { it.notice.pausedUntil }
}

/**
 * Refuses the waiting requests for the service of [upstream] that would have to start before the
 * first of its upstreams resumes.
 */
private fun GatewayState.refusePaused(upstream: UpstreamKey, context: GatewayContext): GatewayStep {
    val service = upstreams[upstream]?.record?.service ?: return Step(this)
    val firstPauseEndsAt = firstPauseEndsAt(service, context) ?: return Step(this)
    val queue = queues[service] ?: return Step(this)
    val waiting = calls.values.filter {
        it.service == service &&
            queue.isWaiting(it.request.id) &&
            startBy(it, context) < firstPauseEndsAt
    }
    return waiting.fold(GatewayStep(this)) { step, call ->
        step.then { it.endWithoutAnswer(call, GatewayRefusal.UPSTREAMS_PAUSED, context) }
    }
}

/** Bounds the memory of notices; more than the upstreams that leave or pause at any one time. */
private const val MAX_NOTICES = 1_024
