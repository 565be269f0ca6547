package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.group.LeaseGuard

/** Guards against two keepers that both give orders after another entry has claimed the lease. */
class LostLeaseTest {
    @Nested
    inner class AKeeperThatRepeatsUnansweredOrders {
        @Test
        fun `gives none once the next holder may begin`() {
            for (length in suspensions) {
                val fleet = KeeperFleet(size = 2)
                fleet.run(3.seconds)
                val first = checkNotNull(fleet.keeper)
                fleet.lateRate = 1.0
                fleet.run(1.seconds)
                first.suspend(length)
                fleet.run(length + LeaseGuard.TAKEOVER_DELAY + 2.seconds)
                assertNotEquals(first, fleet.keeper, "suspended for $length")
            }
        }
    }

    @Nested
    inner class AKeeperThatMakesOneChangeAfterAnother {
        @Test
        fun `begins none after another entry has claimed its lease`() {
            for (seed in 1L..SEEDS) {
                val fleet = KeeperFleet(size = 2, seed = seed, lateRate = LATE_RATE)
                fleet.run(3.seconds)
                checkNotNull(fleet.keeper).suspend(1.seconds)
                fleet.run(LeaseGuard.TAKEOVER_DELAY - 1.seconds)
                assertTrue(
                    fleet.time - fleet.orderedAt > 1.seconds,
                    "seed $seed: orders until ${fleet.orderedAt}, now ${fleet.time}"
                )
            }
        }
    }

    private companion object {
        const val SEEDS = 20L

        /** Makes changes long, so that the keeper is rarely seen between two of them. */
        const val LATE_RATE = 0.35
        val suspensions: List<Duration> =
            listOf(600.milliseconds, 1.seconds, 2.seconds, 4.seconds)
    }
}
