package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ServiceName
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord

/**
 * Limits the upstreams that are too slow for the streams of their service, and raises the limits of
 * those that are well again.
 *
 * An upstream without a reported slowdown counts as well. Limits nothing where the configuration
 * names no engine or no longest acceptable pause.
 */
internal fun GatewayState.updateSlowLimits(context: GatewayContext): GatewayStep {
    val concerned = upstreams.values
        .filter { it.slow != null || it.slowdown >= MIN_SLOWDOWN }
        .map { it.record.service }
        .distinct()
    if (concerned.isEmpty()) return Step(this)
    val changed = concerned.flatMap { nextSlowLimits(it, context) }
    val records = changed.mapNotNull { it.changeRecord(before = upstreams.getValue(it.key)) }
    return Step(
        changed.fold(this) { state, upstream -> state.put(upstream) },
        records.map { GatewayEffect.Log(it) }.toPersistentList()
    )
}

/** The upstreams of [service] whose limits change. */
private fun GatewayState.nextSlowLimits(
    service: ServiceName,
    context: GatewayContext
): List<GatewayUpstream> {
    val usualPause = usualPauseOf(service)
    val all = upstreamsOf(service)
    val usable = all.filter { isInService(it) && it.isUsable(context.now) }
    var spareSlots = (usable.sumOf { it.record.slots } * MAX_EXCLUDED_SHARE).toInt()
    // The slowest first: they are the ones to limit if not all of them can be.
    return all.sortedByDescending { it.slowdown }.mapNotNull { upstream ->
        val allowed = allowedRequests(upstream, usualPause)
        val limit = nextLimit(upstream, allowed, usualPause, context)
        val withheld = if (limit == null) 0 else upstream.record.slots - limit.slots
        val kept = limit.takeIf { withheld in 1..spareSlots }
        if (kept != null && upstream in usable) spareSlots -= withheld
        upstream.copy(slow = kept).takeIf { kept != upstream.slow }
    }
}

private fun GatewayState.allowedRequests(upstream: GatewayUpstream, usualPause: UsualPause?): Int {
    val slots = upstream.record.slots
    if (upstream.slowdown < MIN_SLOWDOWN) return slots
    val pause = upstream.slow?.usualPause ?: usualPause
    return pause?.let { settings.policies.slowSlots(it, slots, upstream.slowdown) } ?: slots
}

private fun nextLimit(
    upstream: GatewayUpstream,
    allowed: Int,
    usualPause: UsualPause?,
    context: GatewayContext
): SlowUpstream? {
    upstream.slow?.let { return it.next(allowed, context.now) }
    if (usualPause == null || allowed >= upstream.record.slots) return null
    return SlowUpstream(
        slots = allowed,
        since = context.now,
        limitedAt = context.now,
        usualPause = usualPause
    )
}

/**
 * Pause of the streams of [service] with all slots in use, as far as it is acceptable.
 *
 * Before the first observation, it is taken to be the longest acceptable one. Null if the engine or
 * the longest acceptable pause is not configured.
 */
private fun GatewayState.usualPauseOf(service: ServiceName): UsualPause? {
    val engine = service(service)?.engine ?: return null
    val longest = routesInForce.longestPauses[service] ?: return null
    val fixed = engine.stepTime * engine.eventStride
    val acceptable = (longest - fixed).coerceAtLeast(Duration.ZERO)
    val slots = upstreamsOf(service).sumOf { it.record.slots }
    val observed = pauseEstimates[service]?.pausePerRequest?.times(slots)
    return UsualPause(fixed, minOf(observed ?: acceptable, acceptable), longest)
}

private fun GatewayUpstream.changeRecord(before: GatewayUpstream): LogRecord? = when {
    slow == null -> limitRecord(LogEvent.GATEWAY_UPSTREAM_RECOVERED, this)
    slow.slots < (before.slow?.slots ?: record.slots) ->
        limitRecord(LogEvent.GATEWAY_UPSTREAM_SLOW, this)
    else -> null
}

private fun limitRecord(event: LogEvent, upstream: GatewayUpstream): LogRecord = logRecord(
    event,
    "upstream" to upstream.key,
    "service" to upstream.record.service,
    "slowdown" to "%.2f".format(upstream.slowdown),
    "allowed" to (upstream.slow?.slots ?: upstream.record.slots),
    "slots" to upstream.record.slots,
    "outstanding" to upstream.outstanding,
    "others_outstanding" to upstream.othersOutstanding
)

/** Whether a new request would exceed what its slowdown allows. */
internal val GatewayUpstream.isAtSlowLimit: Boolean
    get() = slow != null && totalOutstanding >= slow.slots

/** Slots that count as capacity; those that are withheld count while requests use them. */
internal val GatewayUpstream.countedSlots: Int
    get() = slow?.let { maxOf(it.slots, totalOutstanding).coerceAtMost(record.slots) }
        ?: record.slots

/** Keepers report slowdowns from 1.25 on; entries of other builds may report lower ones. */
private const val MIN_SLOWDOWN = 1.25

/** Share of the slots that may be withheld; a service with fewer than half of them is down. */
private const val MAX_EXCLUDED_SHARE = 0.5
