package org.shallotplank.core.expertmap

import kotlin.random.Random
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

/**
 * Load pattern: one rank of a group takes five times its usual time, which its reports show with
 * some variation, and demand is estimated from few tokens.
 */
class SlowRankPlanningTest {
    private val now = Instant.fromEpochMilliseconds(1_000_000)

    /** Guards against a slow rank that is noticed only when its turn in the rotation comes. */
    @Nested
    inner class PausesAboveTheAcceptable {
        @Test
        fun `have the reports of all ranks read at once`() {
            val step = groupOf().on(GroupKeeperEvent.PausesObserved(pauses(794)), now).state
                .on(GroupKeeperEvent.Tick, now)

            assertEquals(RANKS, step.reads)
        }

        @Test
        fun `do not have them read more often than each half second and ever less often`() {
            var keeper = groupOf().copy(pauses = pauses(794))
            val times = (0..160).map { 50.milliseconds * it }.filter {
                val step = keeper.on(GroupKeeperEvent.Tick, now + it)
                keeper = step.state
                step.reads == RANKS
            }

            assertEquals(
                listOf(0, 500, 1_500, 3_500, 7_500),
                times.map {
                    it.inWholeMilliseconds.toInt()
                }
            )
        }

        @Test
        fun `have the rotation continued while they are acceptable`() {
            val step = groupOf().copy(pauses = pauses(100)).on(GroupKeeperEvent.Tick, now)

            assertEquals(4, step.reads)
        }

        private val GroupKeeperStep.reads: Int
            get() = effects.count { it is GroupKeeperEffect.ReadReport }
    }

    @Nested
    inner class AMapForASlowRank {
        /** Guards against copies that delay the change and do not shorten its iterations. */
        @Test
        fun `copies only experts that leave that rank`() {
            val before = initial
            val after = assertIs<KeeperStage.Preparing>(relieved.stage).map
            val left = before.layers.indices.map { before.layers[it][SLOW].toSet() }
            val copied = (0 until RANKS).flatMap { rank ->
                after.layers.indices.flatMap { layer ->
                    (after.layers[layer][rank] - before.layers[layer][rank].toSet())
                        .map { Copy(rank, it, isFromSlowRank = it in left[layer]) }
                }
            }

            assertTrue(copied.isNotEmpty())
            assertEquals(emptyList(), copied.filter { it.rank == SLOW || !it.isFromSlowRank })
        }

        /** Guards against a change for each report that shows another slowdown. */
        @Test
        fun `is not changed again while the slowdown varies`() {
            val reported = listOf(6.0, 4.5, 7.0, 5.5).runningFold(inForce(relieved)) {
                    keeper,
                    slowdown
                ->
                keeper.withSlowdown(slowdown).plan(now).state
            }

            assertEquals(List(5) { "Settled" }, reported.map { it.stageName() })
        }

        /** Guards against a full map of the next keeper, which knows the demand from few tokens. */
        @Test
        fun `is not changed again by the next keeper`() {
            val mapInUse = checkNotNull(inForce(relieved).map)
            val stages = (1..20).map { seed ->
                groupOf(mapInUse, noisyDemand(seed), mapVersion = 7).copy(plannedJumps = 0)
                    .withSlowdown(5.0, mapVersion = 7)
                    .plan(now).state.stageName()
            }

            assertEquals(setOf("Settled"), stages.toSet())
        }

        /** Guards against a map that is changed although the own part of the rank stays. */
        @Test
        fun `is not made if it shortens pauses by less than its copies cost`() {
            val slow = groupOf().copy(pauses = pauses(794), pausePerImbalance = 1.milliseconds)
                .withSlowdown(5.0)

            assertEquals("Settled", slow.plan(now).state.stageName())
        }

        /** Guards against a slow rank that hides a map that does not fit the demand. */
        @Test
        fun `is planned in full when demand jumps`() {
            val jumped = IntArray(EXPERTS) { if (it < 4) 900 else 100 }
            val keeper = inForce(relieved).copy(demand = demandOf(List(LAYERS) { jumped }))
            val next = keeper.plan(now).state

            assertIs<KeeperStage.Preparing>(next.stage)
        }
    }

    private data class Copy(val rank: Int, val expert: Int, val isFromSlowRank: Boolean)

    private val initial = GroupMap.initial(LAYERS, RANKS, EXPERTS)
    private val relieved: GroupKeeper get() = groupOf().withSlowdown(5.0).plan(now).state

    /** The keeper after its change, with the map of the change in use. */
    private fun inForce(keeper: GroupKeeper): GroupKeeper {
        val preparing = assertIs<KeeperStage.Preparing>(keeper.stage)
        return keeper.copy(map = preparing.map, stage = KeeperStage.Settled)
    }

    private fun GroupKeeper.withSlowdown(slowdown: Double, mapVersion: Long = 0): GroupKeeper =
        copy(reports = reportsOf(slowdown, mapVersion))

    private fun reportsOf(slowdown: Double, mapVersion: Long) = (0 until RANKS).associateWith {
        val own = if (it == SLOW) slowdown else 1.0
        ReceivedReport(RankReport(1, isFormed = true, 1, mapVersion, slowdown = own), now)
    }.toPersistentMap()

    /** Demand differs by a few percent, and one layer has a rank with 1.4 times the mean load. */
    private fun usualDemand() = demandOf(
        List(LAYERS) { layer ->
            IntArray(EXPERTS) {
                if (it == 0 &&
                    layer == 0
                ) {
                    190
                } else {
                    100 + (it * 7 + layer * 3) % 11
                }
            }
        }
    )

    /** One round with few tokens, as a keeper first gets it. */
    private fun noisyDemand(seed: Int): GroupDemand {
        val random = Random(seed)
        val tokens = List(LAYERS) { IntArray(EXPERTS) { (1..6).sumOf { random.nextInt(3) } } }
        return GroupDemand.unknown(LAYERS, EXPERTS).plus(tokens, now).endRound(HALF_LIFE)
    }

    private fun demandOf(tokens: List<IntArray>): GroupDemand =
        (1..2).fold(GroupDemand.unknown(LAYERS, EXPERTS)) { known, _ ->
            known.plus(tokens, now).endRound(HALF_LIFE)
        }

    private fun pauses(recentMillis: Int) = StreamPauses(
        recent = recentMillis.milliseconds,
        acceptable = 150.milliseconds,
        fixed = 23.milliseconds
    )

    private fun groupOf(
        map: GroupMap = initial,
        demand: GroupDemand = usualDemand(),
        mapVersion: Long = 0
    ) = GroupKeeper(
        group = "g",
        fence = 1,
        ranks = RANKS,
        placement = PlacementProfile(
            layers = LAYERS,
            expertsPerLayer = EXPERTS,
            slotsPerRank = 4,
            spareSlots = 2,
            expertCopyTime = 10.milliseconds
        ),
        settings = GroupKeeperSettings(
            sampledRanks = RANKS,
            countInterval = 60_000.milliseconds,
            popularityHalfLife = HALF_LIFE,
            maxLoadsPerRank = 8,
            minGain = 0.05
        ),
        stage = KeeperStage.Settled,
        epoch = 1,
        reports = reportsOf(slowdown = 1.0, mapVersion),
        map = map,
        demand = demand,
        plannedAt = now,
        plannedJumps = demand.jumps,
        countsRequestedAt = now
    )

    private companion object {
        const val RANKS = 32
        const val EXPERTS = 64
        const val LAYERS = 3
        const val SLOW = 5
        val HALF_LIFE = 400.milliseconds
    }
}
