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
import org.shallotplank.core.gateway.StreamPauses

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

    /** Load pattern: the load is light, so that streams are on time although the map is uneven. */
    @Nested
    inner class AGroupUnderLightLoad {
        @Test
        fun `keeps its map while pauses are far below the acceptable ones`() {
            assertIs<KeeperStage.Settled>(planned(uneven, uneven, pauses = pauses(60)).stage)
        }

        @Test
        fun `gets a new map once pauses approach the acceptable ones`() {
            assertIs<KeeperStage.Preparing>(planned(uneven, uneven, pauses = pauses(100)).stage)
        }

        @Test
        fun `gets as good a map however short its pauses are, once it is changed`() {
            val copies = listOf(76, 200)
                .map { copiesOf(planned(steep, steep, pauses = pauses(it))) }
            assertTrue(copies[0] > 0 && copies[0] == copies[1], "$copies")
        }

        @Test
        fun `gets a new map after a jump of demand although the pauses do not show it yet`() {
            val before = planned(even, even, pauses = pauses(60))
            assertIs<KeeperStage.Settled>(before.stage)
            val jumped = before.copy(demand = demandOf(steep, steep), plannedJumps = 0)
            assertIs<KeeperStage.Preparing>(jumped.plan(now).state.stage)
        }

        private fun copiesOf(keeper: GroupKeeper): Int {
            val before = GroupMap.initial(layers = 2, RANKS, EXPERTS)
            val next = assertIs<KeeperStage.Preparing>(keeper.stage).map
            return next.layers.indices.sumOf { layer ->
                (0 until RANKS).sumOf { rank ->
                    (next.layers[layer][rank] - before.layers[layer][rank].toSet()).size
                }
            }
        }

        private fun pauses(recentMillis: Int) = StreamPauses(
            recent = recentMillis.milliseconds,
            acceptable = 120.milliseconds,
            fixed = 20.milliseconds
        )
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

    private fun demandOf(vararg tokens: IntArray): GroupDemand {
        val unknown = GroupDemand.unknown(tokens.size, EXPERTS)
        return (1..2).fold(unknown) { known, _ ->
            known.plus(tokens.toList(), now).endRound(400.milliseconds)
        }
    }

    private fun planned(
        vararg tokens: IntArray,
        slowdowns: List<Double> = List(RANKS) { 1.0 },
        pauses: StreamPauses? = null
    ): GroupKeeper {
        val layers = tokens.size
        val demand = demandOf(*tokens)
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
            demand = demand,
            plannedJumps = demand.jumps,
            pauses = pauses
        )
        return keeper.plan(now).state
    }

    private companion object {
        const val RANKS = 4
        const val EXPERTS = 8
        val even = IntArray(EXPERTS) { 100 }

        /** The rank with expert 0 has 1.39 times the mean load. */
        val uneven = IntArray(EXPERTS) { if (it == 0) 220 else 100 }

        /** The ranks with the first two experts have several times the load of the others. */
        val steep = IntArray(EXPERTS) { if (it < 2) 900 else 100 }
    }
}
