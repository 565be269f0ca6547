package org.shallotplank.core.expertmap

import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.gateway.PlacementProfile

/** Load pattern: demand for experts drifts a little all the time, and every copy slows its rank. */
class GroupPlanningTest {
    private val now = Instant.fromEpochMilliseconds(0)

    @Nested
    inner class AGroupWithOneUnevenLayer {
        @Test
        fun `is left alone`() {
            assertIs<KeeperStage.Settled>(planned(uneven, even).stage)
        }
    }

    @Nested
    inner class AGroupWhoseLayersAreAllUneven {
        @Test
        fun `gets another map`() {
            assertIs<KeeperStage.Preparing>(planned(uneven, uneven).stage)
        }
    }

    private fun planned(vararg tokens: IntArray): GroupKeeper {
        val layers = tokens.size
        val unknown = GroupDemand.unknown(layers, EXPERTS)
        val demand = (1..2).fold(unknown) { known, _ ->
            known.plus(tokens.toList(), now).endRound(400.milliseconds)
        }
        val keeper = GroupKeeper(
            group = "g",
            fence = 1,
            ranks = RANKS,
            placement = PlacementProfile(
                layers = layers,
                expertsPerLayer = EXPERTS,
                slotsPerRank = 4,
                spareSlots = 2,
                expertCopyTime = 100.milliseconds
            ),
            settings = GroupKeeperSettings(
                sampledRanks = RANKS,
                countInterval = 150.milliseconds,
                popularityHalfLife = 400.milliseconds,
                maxLoadsPerRank = 2,
                minGain = 0.05
            ),
            stage = KeeperStage.Settled,
            map = GroupMap.initial(layers, RANKS, EXPERTS),
            demand = demand
        )
        return keeper.plan(now).state
    }

    private companion object {
        const val RANKS = 4
        const val EXPERTS = 8
        val even = IntArray(EXPERTS) { 100 }

        /** One rank has 1.39 times the mean. */
        val uneven = IntArray(EXPERTS) { if (it == 0) 220 else 100 }
    }
}
