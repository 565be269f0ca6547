package org.shallotplank.core.expertmap

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.shallotplank.core.expertmap.fake.FakeRankGroup
import org.shallotplank.core.gateway.PlacementProfile

/**
 * Guards against a group that stands still for good: a hold that an entry sends after a suspension
 * arrives after the release of its step, which has not begun because the group has no requests.
 */
class LateHoldTest {
    private val group = FakeRankGroup(RANKS)
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private val map = GroupMap.initial(1, RANKS, EXPERTS)
    private val step = group.step + 1
    private var keeper = GroupKeeper(
        group = "g",
        fence = GroupKeeper.FENCES_PER_LEASE,
        ranks = RANKS,
        placement = PlacementProfile(1, EXPERTS, 3, 2, expertCopyTime = 100.milliseconds),
        settings = GroupKeeperSettings(RANKS, 150.milliseconds, 400.milliseconds, 2, 0.05),
        stage = KeeperStage.Releasing(VERSION, map, step),
        epoch = group.epoch,
        map = map
    )

    private fun order(rank: Int, order: RankOrder) = assertEquals(
        OrderOutcome.DONE,
        group.execute(rank, order, group.epoch, keeper.fence)
    )

    private fun arm() {
        val next = RankOrder.Prepare(VERSION, map)
        repeat(RANKS) { order(it, next) }
        order(HOLDING_RANK, RankOrder.Hold(step))
        repeat(RANKS) { order(it, RankOrder.Arm(VERSION, step)) }
    }

    private fun reduce(event: GroupKeeperEvent): List<RankOrder> {
        val next = keeper.on(event, now)
        keeper = next.state
        return next.effects.filterIsInstance<GroupKeeperEffect.SendOrder>().map { it.order }
    }

    private fun release() {
        order(HOLDING_RANK, RankOrder.Release(step))
        val release = RankOrder.Release(step)
        val done = OrderOutcome.DONE
        reduce(
            GroupKeeperEvent.Answered(HOLDING_RANK, group.epoch, keeper.fence, release, done)
        )
        assertIs<KeeperStage.Switching>(keeper.stage)
    }

    private fun report(isFresh: Boolean) = GroupKeeperEvent.Reported(
        HOLDING_RANK,
        group.report(HOLDING_RANK).copy(isFresh = isFresh)
    )

    @Test
    fun `is released again and the ranks switch`() {
        arm()
        release()
        order(HOLDING_RANK, RankOrder.Hold(step))
        now += 150.milliseconds

        assertEquals(listOf<RankOrder>(RankOrder.Release(step)), reduce(report(isFresh = true)))
        release()
        group.runStep()
        now += 150.milliseconds
        reduce(report(isFresh = true))
        assertIs<KeeperStage.Settled>(keeper.stage)
        assertEquals(VERSION, group.report(0).mapVersion)
    }

    @Test
    fun `is not inferred from a report that may be older than the release`() {
        arm()
        val held = report(isFresh = false)
        release()
        now += 150.milliseconds

        assertEquals(emptyList(), reduce(held))
        assertIs<KeeperStage.Switching>(keeper.stage)
    }

    private companion object {
        const val RANKS = 3
        const val EXPERTS = 6
        const val VERSION = 20_000L
    }
}
