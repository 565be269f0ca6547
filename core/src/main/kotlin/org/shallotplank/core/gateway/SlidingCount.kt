package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Counts events of the last [window], in buckets of [BUCKET].
 *
 * An event is counted for at least [window] and at most one bucket longer.
 */
internal data class SlidingCount(
    val window: Duration,
    private val buckets: PersistentList<Bucket> = persistentListOf()
) {
    /** Counts one event at [now]. */
    fun plus(now: Instant): SlidingCount {
        val slot = now.toEpochMilliseconds() / BUCKET.inWholeMilliseconds
        val kept = buckets.removeAll { isPast(it, now) }
        val last = kept.lastOrNull()
        val counted = if (last != null && last.slot == slot) {
            kept.set(kept.lastIndex, last.copy(count = last.count + 1))
        } else {
            kept.add(Bucket(slot, count = 1))
        }
        return copy(buckets = counted)
    }

    /** Number of events in the window that ends at [now]. */
    fun at(now: Instant): Int = buckets.sumOf { if (isPast(it, now)) 0 else it.count }

    private fun isPast(bucket: Bucket, now: Instant): Boolean {
        val endMillis = (bucket.slot + 1) * BUCKET.inWholeMilliseconds
        return endMillis + window.inWholeMilliseconds <= now.toEpochMilliseconds()
    }

    internal data class Bucket(val slot: Long, val count: Int)

    private companion object {
        /** Resolution of the count; its error is 2.5% of the shortest window, ten seconds. */
        val BUCKET = 250.milliseconds
    }
}
