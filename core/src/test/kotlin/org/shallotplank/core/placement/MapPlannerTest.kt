package org.shallotplank.core.placement

import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Nested
import org.shallotplank.core.config.RankGroupShape

class MapPlannerTest {
    private val shape =
        RankGroupShape(ranks = 4, layers = 1, expertsPerLayer = 8, slotsPerRank = 3)
    private val settings = PlacementSettings(
        expertBytes = 1,
        weightStoreBytesPerSecond = 2,
        maxLoadsPerRank = 3
    )
    private val equal = RankSpeeds.equal(shape.ranks)

    private fun popularity(vararg tokens: Int) = ExpertPopularity.unknown(1, tokens.size)
        .plus(listOf(tokens), Instant.fromEpochSeconds(0), halfLife = 10.seconds)

    @Nested
    inner class APlan {
        @Test
        fun `gives a hot expert more replicas`() {
            val popularity = popularity(900, 100, 100, 100, 100, 100, 100, 100)
            val plan = MapPlanner(settings).plan(ExpertMap.initial(shape), popularity, equal)
            val replicas = assertNotNull(plan).map.layers.single().expertBySlot.count { it == 0 }
            assertTrue(replicas > 2, "$replicas replicas")
            assertTrue(plan.imbalanceAfter < plan.imbalanceBefore)
        }

        @Test
        fun `is not made when the ranks are balanced`() {
            val popularity = popularity(100, 100, 100, 100, 100, 100, 100, 100)
            val even = shape.copy(slotsPerRank = 2)
            assertNull(MapPlanner(settings).plan(ExpertMap.initial(even), popularity, equal))
        }

        @Test
        fun `is not made for a small gain while the weight store is busy`() {
            val popularity = popularity(110, 100, 100, 100, 100, 100, 100, 100)
            val map = ExpertMap.initial(shape.copy(slotsPerRank = 2))
            val busy = settings.minGainAt(storeUse = 1.0)
            assertNull(MapPlanner(settings).plan(map, popularity, equal, minGain = busy))
        }

        @Test
        fun `takes load off a straggler`() {
            val even = ExpertMap.initial(shape)
            val popularity = popularity(100, 100, 100, 100, 100, 100, 100, 100)
            val slowed = equal.plus(
                loads = DoubleArray(shape.ranks) { 1.0 },
                busy = List(shape.ranks) { if (it == 2) 300.microseconds else 100.microseconds },
                weight = 1.0
            )
            val plan = assertNotNull(MapPlanner(settings).plan(even, popularity, slowed))
            val shares = popularity.shares(0)
            val before = even.layers.single().rankLoads(shares)[2]
            assertTrue(plan.map.layers.single().rankLoads(shares)[2] < before)
        }
    }

    /**
     * A group of more than a hundred ranks whose initial map does not fit the popularity.
     *
     * This is the state after a change of load in which half of the popular experts change.
     */
    @Nested
    inner class APlanForManyRanks {
        private val many = RankGroupShape(
            ranks = 128,
            layers = 2,
            expertsPerLayer = 256,
            slotsPerRank = 3
        )
        private val budget = settings.copy(
            weightStoreBytesPerSecond = 1_000_000,
            triggerImbalance = 1.3,
            goalImbalance = 1.06,
            maxLoadsPerRank = 4,
            maxLoadsPerRankAndLayer = 2,
            maxSearches = 0
        )

        @Test
        fun `balances the ranks without searching whole layers`() {
            val plan = assertNotNull(planFrom(ExpertMap.initial(many)))

            assertTrue(plan.imbalanceBefore > 2.5, "before ${plan.imbalanceBefore}")
            assertTrue(plan.imbalanceAfter < 1.3, "after ${plan.imbalanceAfter}")
        }

        @Test
        fun `loads no more experts per rank and layer than the limit`() {
            val before = ExpertMap.initial(many)
            val plan = assertNotNull(planFrom(before))

            plan.map.layers.zip(before.layers).forEach { (next, present) ->
                val loaded = next.expertBySlot.chunked(many.slotsPerRank)
                    .zip(present.expertBySlot.chunked(many.slotsPerRank))
                    .map { (new, old) -> (new - old.toSet()).size }
                assertTrue(loaded.max() <= budget.maxLoadsPerRankAndLayer)
            }
        }

        private fun planFrom(map: ExpertMap): MapPlan? {
            val shares = (1..many.expertsPerLayer).map { (10_000 / sqrt(it.toDouble())).toInt() }
            val layers = (1L..many.layers).map { shares.shuffled(Random(it)).toIntArray() }
            val popularity = ExpertPopularity.unknown(many.layers, many.expertsPerLayer)
                .plus(layers, Instant.fromEpochSeconds(0), halfLife = 10.seconds)
            return MapPlanner(budget).plan(map, popularity, RankSpeeds.equal(many.ranks))
        }
    }

    @Property(tries = 300, seed = "11")
    fun `any plan keeps all experts, puts none twice on a rank and stays within its budget`(
        @ForAll @Size(8) tokens: List<
            @IntRange(min = 0, max = 1000)
            Int
            >
    ) {
        val map = ExpertMap.initial(shape)
        val popularity = popularity(*tokens.toIntArray())
        val plan = MapPlanner(settings).plan(map, popularity, equal) ?: return
        val slots = plan.map.layers.single().expertBySlot
        assertEquals((0 until 8).toSet(), slots.toSet())
        slots.chunked(shape.slotsPerRank).forEach { assertEquals(it.size, it.toSet().size) }
        assertTrue(plan.expertsLoaded <= settings.maxLoadsPerChange)
        assertTrue(plan.imbalanceAfter <= plan.imbalanceBefore)
        val slowest = plan.map.layers.single().rankLoads(popularity.shares(0)).max()
        assertEquals(slowest * shape.ranks, plan.imbalanceAfter, absoluteTolerance = 1e-9)
    }
}
