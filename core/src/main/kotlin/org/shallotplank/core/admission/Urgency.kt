package org.shallotplank.core.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.config.Priority

/**
 * Requests that wait for the same service in the queues of other entries.
 *
 * @property byPriority number of requests, those of old reports counted in part.
 * @property guaranteed number of requests that this entry may run whatever waits at others.
 */
public data class ElsewhereWaiting(
    val byPriority: PersistentMap<Priority, Double> = persistentMapOf(),
    val guaranteed: Int = Int.MAX_VALUE
) {
    /** Number of requests that are more urgent than [priority]. */
    internal fun moreUrgentThan(priority: Priority): Double =
        byPriority.entries.sumOf { (other, count) -> if (other < priority) count else 0.0 }
}

/**
 * What a queue observes of its requests by priority, to hold capacity for the more urgent ones.
 *
 * The counts decay with a time constant of [DECAY_TIME].
 *
 * @property arrivals requests that arrived, by priority.
 * @property admissions requests that were admitted, by priority.
 * @property at time as of which the counts are decayed.
 * @property admissionsInOrder admissions since the last one out of the order of urgency.
 * @property elsewhere requests that wait at other entries.
 */
internal data class Urgency(
    val arrivals: PersistentMap<Priority, Double> = persistentMapOf(),
    val admissions: PersistentMap<Priority, Double> = persistentMapOf(),
    val at: Instant = Instant.DISTANT_PAST,
    val admissionsInOrder: Int = 0,
    val elsewhere: ElsewhereWaiting = ElsewhereWaiting()
) {
    fun afterArrival(priority: Priority, now: Instant): Urgency = decayed(now).let {
        it.copy(arrivals = it.arrivals.increased(priority))
    }

    fun afterAdmission(priority: Priority, isInOrder: Boolean, now: Instant): Urgency =
        decayed(now).let {
            it.copy(
                admissions = it.admissions.increased(priority),
                admissionsInOrder = if (isInOrder) it.admissionsInOrder + 1 else 0
            )
        }

    /** Arrivals expected within [time] of requests that are more urgent than [priority]. */
    fun expectedBefore(priority: Priority, time: Duration): Double =
        arrivals.entries.sumOf { (other, count) -> if (other < priority) count else 0.0 } *
            (time / DECAY_TIME)

    /** Share of the requests of [priority] that were admitted, 1.0 before the first arrival. */
    fun servedShare(priority: Priority): Double =
        share(admissions[priority] ?: 0.0, arrivals[priority] ?: 0.0)

    /** Whether a smaller share was admitted of requests that are more urgent than [priority]. */
    fun isAheadOfMoreUrgent(priority: Priority): Boolean = arrivals.keys.any {
        it < priority && servedShare(it) < servedShare(priority)
    }

    /**
     * Which of [priorities] is admitted before more urgent ones, so that none starves.
     *
     * At most one of [ADMISSIONS_PER_OTHER] admissions goes to a priority of which less than
     * [GUARANTEED_SHARE] of the usual share was admitted.
     */
    fun starving(priorities: Set<Priority>): Priority? {
        if (admissionsInOrder < ADMISSIONS_PER_OTHER - 1) return null
        val usual = share(admissions.values.sum(), arrivals.values.sum())
        return priorities.filter { servedShare(it) < usual * GUARANTEED_SHARE }
            .minByOrNull { servedShare(it) }
    }

    private fun decayed(now: Instant): Urgency {
        val kept = exp(-((now - at).coerceAtLeast(Duration.ZERO) / DECAY_TIME))
        return copy(arrivals = arrivals * kept, admissions = admissions * kept, at = now)
    }

    private companion object {
        /** Covers several hundred arrivals of a busy entry, and follows a burst of some seconds. */
        val DECAY_TIME = 5.seconds

        const val ADMISSIONS_PER_OTHER = 4

        /** More than the quarter that callers are guaranteed, since the counts are estimates. */
        const val GUARANTEED_SHARE = 0.3

        /** Arrivals are counted as one more, so that few of them give no extreme share. */
        fun share(admitted: Double, arrived: Double): Double = (admitted + 1) / (arrived + 1)

        fun PersistentMap<Priority, Double>.increased(priority: Priority) =
            put(priority, (this[priority] ?: 0.0) + 1)

        operator fun PersistentMap<Priority, Double>.times(factor: Double) =
            entries.fold(this) { map, (priority, count) -> map.put(priority, count * factor) }
    }
}
