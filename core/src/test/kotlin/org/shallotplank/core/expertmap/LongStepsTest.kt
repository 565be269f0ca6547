package org.shallotplank.core.expertmap

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.expertmap.fake.FakeRankGroup
import org.shallotplank.core.gateway.PlacementProfile

/**
 * Guards against changes of the map that last for several steps while a slow rank makes each of
 * them long, and in which one order got no answer.
 */
class LongStepsTest {
    @Nested
    inner class AChangeInWhichAnOrderWasLost {
        @Test
        fun `is in force within a second although a step takes 600 ms`() {
            val times = (0 until 12).map { PacedGroup(600.milliseconds).timeToSwitch(it) }

            assertTrue(times.all { it <= 1.seconds }, "$times")
        }

        @Test
        fun `leaves time to repeat orders while a step takes 100 ms`() {
            val group = PacedGroup(100.milliseconds)
            group.timeToSwitch(0)

            assertEquals(4, group.stepsAhead)
            assertFalse(group.wasHeldUp)
        }
    }
}

/** A group with steps of [stepTime] and its keeper; copies take [COPY_TIME]. */
private class PacedGroup(private val stepTime: Duration) {
    private val group = FakeRankGroup(RANKS)
    private val initial = GroupMap.initial(LAYERS, RANKS, EXPERTS)
    private val actions = mutableListOf<Pair<Instant, () -> Unit>>()
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private var nextStepAt = now
    private var preparedSince: Instant? = null
    private var isOrderLost = false
    private var keeper = GroupKeeper(
        group = "g",
        fence = 1,
        ranks = RANKS,
        placement = PlacementProfile(LAYERS, EXPERTS, 4, 2, COPY_TIME / 2),
        settings = GroupKeeperSettings(RANKS, 150.milliseconds, 400.milliseconds, 2, 0.05),
        stage = KeeperStage.Surveying(now)
    )

    /** Steps between the last one that was known to have begun and the one that was held. */
    var stepsAhead = 0L
        private set

    /** Whether the group waited for the release of a step. */
    var wasHeldUp = false
        private set

    /** Time from the plan, made at [phase] twelfths of a step, until its map is in force. */
    fun timeToSwitch(phase: Int): Duration {
        run(4.seconds + stepTime * phase / 12)
        val next = initial.copy(
            layers = initial.layers.map { layer ->
                layer.set(0, layer[0].add(1))
            }.toPersistentList()
        )
        val preparing = KeeperStage.Preparing(keeper.nextVersion(), next, now, now + COPY_TIME)
        val plannedAt = now
        isOrderLost = true
        val step = keeper.enter(preparing, now)
        keeper = step.state
        step.effects.forEach(::perform)
        while (group.switches == 0 && now - plannedAt < 10.seconds) run(TICK)
        return now - plannedAt
    }

    private fun run(time: Duration) {
        val end = now + time
        while (now < end) {
            now += TICK
            val due = actions.filter { it.first <= now }
            actions -= due.toSet()
            due.forEach { it.second() }
            if (now >= nextStepAt) {
                wasHeldUp = wasHeldUp || group.isHeld
                if (!group.isHeld) nextStepAt = now + stepTime
                group.runStep()
            }
            if (now.toEpochMilliseconds() % 50 == 0L) reduce(GroupKeeperEvent.Tick)
        }
    }

    private fun reduce(event: GroupKeeperEvent) {
        val before = keeper
        val step = keeper.on(event, now)
        keeper = step.state
        val holding = keeper.stage as? KeeperStage.Holding
        if (holding != null && before.stage !is KeeperStage.Holding) {
            stepsAhead = holding.step - keeper.latestStep
        }
        step.effects.forEach(::perform)
    }

    private fun perform(effect: GroupKeeperEffect) {
        when (effect) {
            is GroupKeeperEffect.ReadReport -> {
                val seen = group.report(effect.rank)
                later(REPORT_AGE) { reduce(GroupKeeperEvent.Reported(effect.rank, seen)) }
            }
            is GroupKeeperEffect.ReadCounts -> later(ANSWER_TIME) {
                val none = List(LAYERS * EXPERTS) { 0L }.toPersistentList()
                reduce(GroupKeeperEvent.Counted(effect.rank, group.epoch, group.step, none))
            }
            is GroupKeeperEffect.SendOrder -> sendOrder(effect)
            is GroupKeeperEffect.ReadMap, is GroupKeeperEffect.Log -> Unit
        }
    }

    private fun sendOrder(effect: GroupKeeperEffect.SendOrder) {
        val isLost = isOrderLost && effect.rank == 1
        if (isLost) isOrderLost = false
        later(if (isLost) ORDER_TIMEOUT else ANSWER_TIME) {
            val outcome = if (isLost) OrderOutcome.NO_ANSWER else outcomeOf(effect)
            val event = GroupKeeperEvent.Answered(
                effect.rank,
                effect.epoch,
                effect.fence,
                effect.order,
                outcome
            )
            reduce(event)
        }
    }

    private fun outcomeOf(effect: GroupKeeperEffect.SendOrder): OrderOutcome {
        if (effect.order is RankOrder.Prepare) {
            val since = preparedSince ?: now.also { preparedSince = it }
            if (now < since + COPY_TIME) return OrderOutcome.BEGUN
        }
        return group.execute(effect.rank, effect.order, effect.epoch, effect.fence)
    }

    private fun later(delay: Duration, action: () -> Unit) {
        actions += now + delay to action
    }

    private companion object {
        const val RANKS = 4
        const val EXPERTS = 8
        const val LAYERS = 1
        val TICK = 5.milliseconds
        val ANSWER_TIME = 5.milliseconds
        val REPORT_AGE = 300.milliseconds
        val ORDER_TIMEOUT = 40.milliseconds
        val COPY_TIME = 200.milliseconds
    }
}
