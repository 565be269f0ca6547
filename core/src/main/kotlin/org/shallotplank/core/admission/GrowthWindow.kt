package org.shallotplank.core.admission

import kotlin.math.ceil
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Bounds how fast the number of running requests grows while other entries see the same capacity.
 *
 * Entries learn from reports what the others have started. Without a bound, each fills at a burst
 * all capacity that was free at the last reports, and all together exceed it.
 *
 * @property startedAt start of the window, which is about as long as reports are old.
 * @property running number of requests that ran at its start.
 */
internal data class GrowthWindow(
    val startedAt: Instant = Instant.DISTANT_PAST,
    val running: Int = 0
) {
    fun at(now: Instant, running: Int): GrowthWindow =
        if (now - startedAt < LENGTH) this else GrowthWindow(now, running)

    /**
     * Number of requests that may run in this window, if [free] is what this entry could run
     * according to the reports.
     *
     * It may always be the entry's [equalShare], since the equal shares of all entries together do
     * not exceed the capacity.
     */
    fun limit(free: Int, equalShare: Int, entryCount: Int): Int {
        val growth = (free - running).coerceAtLeast(0) * GROWTH_FACTOR / entryCount
        return maxOf(running + ceil(growth).toInt(), equalShare).coerceAtMost(free)
    }

    private companion object {
        /** Reports of a dozen entries are at most this old. */
        val LENGTH = 500.milliseconds

        /**
         * Equal parts of the free capacity that one entry may take within a window. With one,
         * entries whose arrivals increase refuse requests while capacity is free; with three,
         * bursts exceed the capacity nearly as much as without a bound.
         */
        const val GROWTH_FACTOR = 2.0
    }
}
