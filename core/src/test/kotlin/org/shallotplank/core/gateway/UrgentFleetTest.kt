package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/**
 * Load pattern: 13 entries under overload, most of whose arrivals move to other entries every 3 s.
 *
 * Entries with few arrivals admit less urgent requests while others refuse urgent ones.
 */
class UrgentFleetTest {
    @Nested
    inner class AtAnOverloadOf1Point3 {
        @Test
        fun `entries that know what waits elsewhere refuse fewer of the most urgent requests`() {
            assertTrue(with[0] < without[0] * 0.85, "refused $with, before $without")
        }

        @Test
        fun `more urgent requests are not refused more often`() {
            assertTrue(with.zipWithNext().all { (urgent, less) -> urgent <= less }, "$with")
        }

        @Test
        fun `each priority is served a quarter as often as all`() {
            assertTrue(with.all { 1 - it > (1 - with.average()) / 4 }, "refused $with")
        }
    }

    @Nested
    inner class WithSomeEntriesOfABuildWithoutTheTable {
        @Test
        fun `more urgent requests are not refused more often`() {
            val shares = refusedShares(OVERLOAD) { it % 2 == 0 }
            assertTrue(shares.zipWithNext().all { (urgent, less) -> urgent <= less }, "$shares")
        }
    }

    @Nested
    inner class BelowTheCapacity {
        @Test
        fun `hardly any request is refused`() {
            val shares = refusedShares(load = 0.8) { true }
            assertTrue(shares.all { it < 0.02 }, "refused $shares")
        }
    }

    private companion object {
        const val OVERLOAD = 1.3
        const val SEEDS = 2
        val without by lazy { refusedShares(OVERLOAD) { false } }
        val with by lazy { refusedShares(OVERLOAD) { true } }

        private fun refusedShares(load: Double, offersWaiting: (Int) -> Boolean): List<Double> {
            val runs = (1..SEEDS).toList().parallelStream().map { seed ->
                UrgentFleet(seed, load, offersWaiting) { entry, elapsed ->
                    if ((entry + elapsed.inWholeSeconds / 3) % 3 == 0L) 2.2 else 0.4
                }.run(12.seconds)
            }.toList()
            return runs.first().indices.map { kind -> runs.map { it[kind] }.average() }
        }
    }
}
