package org.shallotplank.core.expertmap

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested

/**
 * Load pattern: demand jumps to other experts every few seconds, for all requests at once.
 *
 * An estimate that averages the demand before and after a jump fits neither.
 */
class GroupDemandTest {
    private var now = Instant.fromEpochMilliseconds(0)
    private val random = Random(7)

    @Nested
    inner class WhileDemandStays {
        @Test
        fun `averages its rounds`() {
            val demand = unknown().rounds(12, hot = 3)

            assertTrue(demand.isSettled)
            assertEquals(HOT_SHARE, demand.popularity.shares(0)[3], 0.02)
        }

        @Test
        fun `continues a round that has too few tokens`() {
            val few = listOf(IntArray(EXPERTS) { if (it == 5) 10 else 0 })
            val demand = unknown().rounds(4, hot = 3).plus(few, now).endRound(HALF_LIFE)

            assertTrue(demand.isSettled)
            assertEquals(HOT_SHARE, demand.popularity.shares(0)[3], 0.03)
        }
    }

    /** Load pattern: a group re-forms after an outage and serves few requests at first. */
    @Nested
    inner class WhenNothingIsKnown {
        @Test
        fun `is settled after one round with few tokens`() {
            val few = listOf(IntArray(EXPERTS) { if (it == 5) 5 * EXPERTS else 4 })
            val demand = unknown().plus(few, now).endRound(HALF_LIFE)

            assertTrue(demand.isSettled)
            assertEquals(1, demand.jumps)
            assertTrue(demand.popularity.shares(0)[5] > HOT_SHARE)
        }
    }

    @Nested
    inner class WhenDemandJumps {
        private val before = unknown().rounds(12, hot = 3)

        @Test
        fun `is not settled after the first round`() {
            assertFalse(before.rounds(1, hot = 9).isSettled)
        }

        @Test
        fun `drops the old demand after the second round`() {
            val demand = before.rounds(2, hot = 9)

            assertTrue(demand.isSettled)
            assertEquals(HOT_SHARE, demand.popularity.shares(0)[9], 0.02)
            assertTrue(demand.popularity.shares(0)[3] < HOT_SHARE / 4)
        }

        @Test
        fun `drops the old demand after the third round if the first one was mixed`() {
            val mixed = before.plus(tokens(hot = 3), now).plus(tokens(hot = 9), now)
            val demand = mixed.endRound(HALF_LIFE).rounds(2, hot = 9)

            assertTrue(demand.isSettled)
            assertTrue(demand.popularity.shares(0)[3] < HOT_SHARE / 4)
        }

        @Test
        fun `averages rounds that all differ from each other`() {
            val demand = (10 until 14).fold(before) { known, hot -> known.rounds(1, hot) }

            assertTrue(demand.isSettled)
        }
    }

    private fun unknown() = GroupDemand.unknown(layers = 1, expertsPerLayer = EXPERTS)

    private fun GroupDemand.rounds(count: Int, hot: Int): GroupDemand =
        (1..count).fold(this) { known, _ ->
            now += 150.milliseconds
            known.plus(tokens(hot), now).endRound(HALF_LIFE)
        }

    /** Half of the tokens go to expert [hot], the others unevenly to all other experts. */
    private fun tokens(hot: Int): List<IntArray> {
        val others = IntArray(EXPERTS) { if (it == hot) 0 else 800 + random.nextInt(400) }
        val total = others.sum() / (1 - HOT_SHARE)
        others[hot] = (total * HOT_SHARE).toInt()
        return listOf(others)
    }

    private companion object {
        const val EXPERTS = 24
        const val HOT_SHARE = 0.5
        val HALF_LIFE = 400.milliseconds
    }
}
