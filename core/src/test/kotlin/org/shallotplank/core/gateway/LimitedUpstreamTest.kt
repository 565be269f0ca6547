package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against entries that together send an upstream more than the limit that it names. */
class LimitedUpstreamTest {
    private val limitedSince = startOfTest + 2.seconds
    private val limitedUntil = startOfTest + 20.seconds

    /** Simulates entries before [upstreamCount] engines, of which the first [count] name [rate]. */
    private fun simulated(
        entryCount: Int,
        upstreamCount: Int,
        rate: Double,
        count: Int,
        reportInterval: Duration = 250.milliseconds,
        duration: Duration = 24.seconds
    ): EntryFleet = EntryFleet(
        entryCount = entryCount,
        upstreamCount = upstreamCount,
        slots = 8,
        reportInterval = reportInterval,
        limitOf = { upstream, now ->
            val isLimited = upstream.isAmongFirst(count) && now in limitedSince..limitedUntil
            rate.takeIf { isLimited }
        }
    ).also { it.simulate(load = 0.4, duration = duration) }

    private fun UpstreamKey.isAmongFirst(count: Int) = id.value.toInt() < count

    /** The bound of the platform's rule: half as many again as the limit allows, and 5. */
    private fun assertLimitKept(fleet: EntryFleet, rate: Double, count: Int) {
        val limited = fleet.arrivals.filterKeys { it.isAmongFirst(count) }
        for ((upstream, arrivals) in limited) {
            val counted = arrivals.filter { it >= limitedSince + CONTACT_TIME && it < limitedUntil }
            val most = counted.maxOfOrNull { start ->
                counted.count { it >= start && it - start < WINDOW }
            } ?: 0
            val allowed = 1.5 * rate * WINDOW.inWholeSeconds + 5
            assertTrue(most <= allowed, "$upstream got $most requests in 4 s of $allowed")
        }
    }

    @Nested
    inner class FourEntriesBeforeALimitedEngine {
        @Test
        fun `together keep its limit`() {
            val fleet = simulated(entryCount = 4, upstreamCount = 12, rate = 1.3, count = 1)
            assertLimitKept(fleet, rate = 1.3, count = 1)
        }

        @Test
        fun `use it again when it names no limit any more`() {
            val fleet = simulated(
                entryCount = 4,
                upstreamCount = 4,
                rate = 0.5,
                count = 3,
                duration = 40.seconds
            )
            for ((upstream, arrivals) in fleet.arrivals) {
                val late = arrivals.count { it > limitedUntil + 12.seconds }
                assertTrue(late >= 8, "$upstream got $late requests in the last 8 s")
            }
        }
    }

    @Nested
    inner class TwentyEntriesBeforeLimitedEngines {
        @Test
        fun `together keep the limit of each`() {
            val fleet = simulated(
                entryCount = 20,
                upstreamCount = 40,
                rate = 1.0,
                count = 12,
                reportInterval = 760.milliseconds
            )
            assertLimitKept(fleet, rate = 1.0, count = 12)
        }
    }

    private companion object {
        val CONTACT_TIME: Duration = 3.seconds
        val WINDOW: Duration = 4.seconds
    }
}
