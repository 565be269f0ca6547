package org.shallotplank.core.admission

import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.config.Priority

/**
 * The waiting request to admit next where requests differ in priority, null if none may start.
 *
 * A request starts only if the capacity that is [reservedFrom] its priority stays free, unless its
 * priority would starve.
 */
internal fun AdmissionQueue.nextByUrgency(urgency: Urgency): AdmissionRequest? {
    val first = allowed.minWithOrNull(precedence) ?: return null
    val lessUrgent = allowed.filter { it.priority > first.priority }
    val starving = urgency.starving(lessUrgent.mapTo(HashSet()) { it.priority })
    if (starving != null) {
        return lessUrgent.filter { it.priority == starving }.minWithOrNull(precedence)
    }
    return first.takeIf { capacity - running.size > reservedFrom(it.priority) }
}

/**
 * Capacity that requests of [priority] leave free for more urgent ones.
 *
 * It is the number of more urgent arrivals expected within the time until a slot becomes free, and
 * [MORE_RESERVED] more while a smaller share of the more urgent requests is admitted. More urgent
 * requests that wait at other entries add to it.
 */
internal fun AdmissionQueue.reservedFrom(priority: Priority): Int {
    val observed = urgency ?: return 0
    val expected = observed.expectedBefore(priority, timeUntilFree).roundToInt()
    val more = if (observed.isAheadOfMoreUrgent(priority)) MORE_RESERVED else 0
    return (expected + more).coerceAtMost((capacity * MAX_RESERVED_SHARE).toInt()) +
        reservedForOthers(priority)
}

/**
 * Capacity left free for more urgent requests that wait at other entries.
 *
 * It is the part of their number by which this entry exceeds what it may run in any case.
 */
private fun AdmissionQueue.reservedForOthers(priority: Priority): Int {
    val elsewhere = urgency?.elsewhere ?: return 0
    val above = (running.size - elsewhere.guaranteed).coerceAtLeast(0)
    return elsewhere.moreUrgentThan(priority).roundToInt().coerceAtMost(above)
}

/** Expected time until one of the running requests ends. */
private val AdmissionQueue.timeUntilFree: Duration
    get() = (serviceTime ?: Duration.ZERO) / running.size.coerceAtLeast(1)

/** A waiting request that [arrived] delays beyond its latest start, null if there is none. */
internal fun AdmissionQueue.tooLateBehind(
    arrived: AdmissionRequest,
    now: Instant
): AdmissionRequest? {
    if (urgency == null) return null
    return waiting.filter { it.priority > arrived.priority && now + expectedWait(it) > it.startBy }
        .maxWithOrNull(precedence)
}

/** A waiting request that is less urgent than [refused] and of which a larger share is served. */
internal fun AdmissionQueue.aheadOf(refused: AdmissionRequest): AdmissionRequest? {
    val observed = urgency ?: return null
    val served = observed.servedShare(refused.priority)
    return waiting
        .filter { it.priority > refused.priority && observed.servedShare(it.priority) > served }
        .maxWithOrNull(precedence)
}

/** Bounds the capacity that is left unused for more urgent requests that may not come. */
private const val MAX_RESERVED_SHARE = 0.25

/** With fewer, the shares of the priorities stay unequal; more leave capacity unused. */
private const val MORE_RESERVED = 2
