package org.shallotplank.core.expertmap

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Nested
import org.shallotplank.core.gateway.PlacementProfile

/** Load pattern: demand for experts drifts a little all the time, and each copy slows its rank. */
class GroupPlanningTest {
    private val now = Instant.fromEpochMilliseconds(0)

    @Nested
    inner class AGroupWithOneUnevenLayer {
        @Test
        fun `keeps its map`() {
            assertIs<KeeperStage.Settled>(planned(uneven, even).stage)
        }
    }

    @Nested
    inner class AGroupWhoseLayersAreAllUneven {
        @Test
        fun `gets a new map`() {
            assertIs<KeeperStage.Preparing>(planned(uneven, uneven).stage)
        }
    }

    /** Load pattern: one rank of a group takes several times its usual time for its work. */
    @Nested
    inner class AGroupWithASlowRank {
        @Test
        fun `moves work away from the rank without a jump of demand`() {
            val keeper = planned(even, even, slowdowns = listOf(1.0, 6.0, 1.0, 1.0))
            val next = assertIs<KeeperStage.Preparing>(keeper.stage).map
            val before = GroupMap.initial(layers = 2, RANKS, EXPERTS)
            val left = next.layers.sumOf { layer -> layer[1].count { it in alone(layer, 1) } }
            assertTrue(left < before.layers.sumOf { it[1].size }, "$next")
            next.layers.forEach { layer ->
                assertEquals(EXPERTS, layer.flatten().toSet().size)
            }
        }

        @Test
        fun `is planned again while another change is prepared`() {
            val keeper = planned(uneven, uneven)
            assertIs<KeeperStage.Preparing>(keeper.stage)
            val slow = report(slowdown = 5.0)
            val next = keeper.on(GroupKeeperEvent.Reported(2, slow), now).state
            assertEquals(setOf(2), next.plannedSlowRanks)
        }

        @Test
        fun `keeps its map if all ranks are equally slow`() {
            val keeper = planned(even, even, slowdowns = List(RANKS) { 3.0 })
            assertIs<KeeperStage.Settled>(keeper.stage)
            assertEquals(emptyMap(), keeper.slowRanks)
        }

        /** Experts of [layer] that only [rank] holds. */
        private fun alone(layer: List<List<Int>>, rank: Int): Set<Int> = layer[rank].toSet() -
            layer.filterIndexed { other, _ -> other != rank }.flatten().toSet()
    }

    private fun report(slowdown: Double) =
        RankReport(epoch = 1, isFormed = true, step = 1, mapVersion = 0, slowdown = slowdown)

    private fun planned(
        vararg tokens: IntArray,
        slowdowns: List<Double> = List(RANKS) { 1.0 }
    ): GroupKeeper {
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
            epoch = 1,
            reports = slowdowns.withIndex().associate { (rank, slowdown) ->
                rank to ReceivedReport(report(slowdown), now)
            }.toPersistentMap(),
            map = GroupMap.initial(layers, RANKS, EXPERTS),
            demand = demand
        )
        return keeper.plan(now).state
    }

    private companion object {
        const val RANKS = 4
        const val EXPERTS = 8
        val even = IntArray(EXPERTS) { 100 }

        /** The rank with expert 0 has 1.39 times the mean load. */
        val uneven = IntArray(EXPERTS) { if (it == 0) 220 else 100 }
    }
}
