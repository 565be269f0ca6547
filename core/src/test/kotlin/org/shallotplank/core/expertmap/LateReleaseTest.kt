package org.shallotplank.core.expertmap

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.expertmap.fake.FakeRankGroup
import org.shallotplank.core.gateway.PlacementProfile

/**
 * Guards against a late release by a keeper that has ended, which releases the step that the next
 * keeper holds: in a group without requests, both may hold the same one.
 */
class LateReleaseTest {
    private val group = FakeRankGroup(RANKS, areFencesChecked = false)
    private val random = Random(1)
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private val heldSteps = mutableListOf<Long>()
    private var keeper = GroupKeeper(
        group = "g",
        fence = GroupKeeper.FENCES_PER_LEASE,
        ranks = RANKS,
        placement = PlacementProfile(1, EXPERTS, 3, 2, expertCopyTime = 100.milliseconds),
        settings = GroupKeeperSettings(
            sampledRanks = RANKS,
            countInterval = 150.milliseconds,
            popularityHalfLife = 400.milliseconds,
            maxLoadsPerRank = 2,
            minGain = 0.01,
            areFencesChecked = false
        ),
        stage = KeeperStage.Surveying(now)
    )

    private fun run(ticks: Int, stepsPerTick: Int) = repeat(ticks) {
        now += 50.milliseconds
        repeat(stepsPerTick) { group.runStep() }
        reduce(GroupKeeperEvent.Tick)
    }

    private fun reduce(event: GroupKeeperEvent) {
        val next = keeper.on(event, now)
        keeper = next.state
        next.effects.forEach(::perform)
    }

    private fun perform(effect: GroupKeeperEffect) {
        when (effect) {
            is GroupKeeperEffect.Log -> Unit
            is GroupKeeperEffect.ReadReport -> {
                val report = group.report(effect.rank).copy(isFresh = true)
                reduce(GroupKeeperEvent.Reported(effect.rank, report))
            }
            is GroupKeeperEffect.ReadCounts -> {
                val counts = List(EXPERTS) { 1L + random.nextLong(1_000_000) }.toPersistentList()
                reduce(GroupKeeperEvent.Counted(effect.rank, group.epoch, group.step, counts))
            }
            is GroupKeeperEffect.ReadMap -> {
                val initial = GroupMap.initial(1, RANKS, EXPERTS)
                val (version, experts) = group.experts(effect.rank, initial)
                val lists = experts.map { it.toPersistentList() }.toPersistentList()
                reduce(GroupKeeperEvent.Listed(effect.rank, group.epoch, version, lists))
            }
            is GroupKeeperEffect.SendOrder -> {
                val order = effect.order
                if (order is RankOrder.Hold) heldSteps += order.step
                val outcome = group.execute(effect.rank, order, effect.epoch, effect.fence)
                reduce(
                    GroupKeeperEvent.Answered(
                        effect.rank,
                        effect.epoch,
                        effect.fence,
                        order,
                        outcome
                    )
                )
            }
        }
    }

    @Test
    fun `the keeper holds no step that an earlier keeper may have held`() {
        run(ticks = 60, stepsPerTick = 0)
        assertEquals(emptyList(), heldSteps, "held in a group that has begun no step")

        run(ticks = 60, stepsPerTick = 1)
        assertTrue(heldSteps.isNotEmpty())
        assertTrue(heldSteps.first() > FURTHEST_HELD_STEP, "held $heldSteps")
    }

    private companion object {
        const val RANKS = 3
        const val EXPERTS = 6

        /** Furthest step that a keeper holds while the group has begun none. */
        const val FURTHEST_HELD_STEP = 4L
    }
}
