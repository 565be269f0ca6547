package org.shallotplank.core.expertmap

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.expertmap.fake.FakeRankGroup
import org.shallotplank.core.gateway.PlacementProfile

/** Load pattern: demand moves to other experts, and steps take longer until a map fits it. */
class GroupKeeperTest {
    @Nested
    inner class AChangeOfDemand {
        @Test
        fun `gets a fitting map within a second`() {
            val simulation = LoadedGroup(lossRate = 0.0)

            assertTrue(simulation.timeToBalance() <= 1.seconds)
        }

        @Test
        fun `is prepared for as soon as the counts of two whole rounds have arrived`() {
            val times = (0..14).map { step ->
                LoadedGroup(lossRate = 0.0).timeToPreparation(after = 10.milliseconds * step)
            }

            assertTrue(times.all { it <= COUNT_INTERVAL * 3 + LAST_READ_TIME }, "took $times")
        }

        @Test
        fun `gets a fitting map within a second while a change for the old demand is prepared`() {
            val times = (0..10).map { step ->
                LoadedGroup(lossRate = 0.0).timeToBalance(driftingFor = 100.milliseconds * step)
            }

            assertTrue(times.all { it <= 1.seconds }, "took $times")
        }

        @Test
        fun `gets a fitting map within two seconds if a third of the orders get no answer`() {
            val times = (1L..20L).map { LoadedGroup(lossRate = 0.35, seed = it).timeToBalance() }

            assertTrue(times.all { it <= 2.seconds }, "took $times")
        }

        @Test
        fun `holds the group for no longer than two balanced steps`() {
            val worst = (1L..20L).maxOf { seed ->
                LoadedGroup(lossRate = 0.35, seed = seed).also { it.timeToBalance() }.longestHold
            }

            assertTrue(worst <= BALANCED_STEP_TIME * 2, "held for $worst")
        }

        /** Load pattern: an instance is suspended right after its order holds the group. */
        @Test
        fun `holds the group no longer while the instance that sent the hold is suspended`() {
            val group = LoadedGroup(suspensionAfterHold = 4.seconds)
            group.timeToBalance()

            assertTrue(
                group.longestHold <= BALANCED_STEP_TIME * 2,
                "held for ${group.longestHold}"
            )
        }
    }
}

private val COUNT_INTERVAL = 150.milliseconds

/** Time until the tick that sends the last read, and until its answer. */
private val LAST_READ_TIME = 60.milliseconds
private val BALANCED_STEP_TIME = 50.milliseconds
private val UNBALANCED_STEP_TIME = 150.milliseconds
private const val RANKS = 4
private const val EXPERTS = 8

private val placement = PlacementProfile(
    layers = 1,
    expertsPerLayer = EXPERTS,
    slotsPerRank = 4,
    spareSlots = 2,
    expertCopyTime = 100.milliseconds
)

/** A rank group and its keeper; steps take longer while the map does not fit the demand. */
private class LoadedGroup(
    private val lossRate: Double = 0.0,
    seed: Long = 1,
    /** Time for which the instance that sent a hold is suspended once the rank has executed it. */
    private val suspensionAfterHold: Duration = Duration.ZERO
) {
    private val random = Random(seed)
    private val group = FakeRankGroup(RANKS)
    private val scheduled = PriorityQueue<ScheduledAction>(compareBy { it.at })
    private val copyingSince = HashMap<Pair<Int, RankOrder>, Instant>()
    private val counts = List(RANKS) { LongArray(EXPERTS) }
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private var nextStepAt = now
    private var heldSince: Instant? = null
    private var hotExpert = 0
    private var warmExpert: Int? = null
    private var suspendedUntil = Instant.DISTANT_PAST
    private var keeper = GroupKeeper(
        group = "g",
        fence = GroupKeeper.FENCES_PER_LEASE,
        ranks = RANKS,
        placement = placement,
        settings = GroupKeeperSettings(
            sampledRanks = RANKS,
            countInterval = COUNT_INTERVAL,
            popularityHalfLife = 400.milliseconds,
            maxLoadsPerRank = 2,
            minGain = 0.05
        ),
        stage = KeeperStage.Surveying(now)
    )
    var longestHold: Duration = Duration.ZERO
        private set

    private class ScheduledAction(val at: Instant, val run: () -> Unit)

    /**
     * Time from a jump of demand until a map that fits it is in use.
     *
     * Before the jump, demand drifts for [driftingFor], so that the keeper starts a smaller change.
     */
    fun timeToBalance(driftingFor: Duration = Duration.ZERO): Duration {
        run(6.seconds)
        check(isBalanced()) { "no map fitted the first demand" }
        longestHold = Duration.ZERO
        if (driftingFor > Duration.ZERO) warmExpert = EXPERTS / 2
        run(driftingFor)
        warmExpert = null
        hotExpert = EXPERTS - 1
        val changedAt = now
        while (!isBalanced() && now - changedAt < 10.seconds) run(TICK)
        return now - changedAt
    }

    /** Time from a jump of demand until ranks copy experts for it. */
    fun timeToPreparation(after: Duration): Duration {
        run(6.seconds + after)
        check(isBalanced()) { "no map fitted the first demand" }
        hotExpert = EXPERTS - 1
        val changedAt = now
        while (keeper.stage !is KeeperStage.Preparing) run(TICK)
        return now - changedAt
    }

    private fun run(time: Duration) {
        val end = now + time
        while (now < end) {
            now += TICK
            while (scheduled.isNotEmpty() && scheduled.peek().at <= now) scheduled.poll().run()
            stepIfDue()
            if ((now.toEpochMilliseconds() % 50) == 0L) reduce(GroupKeeperEvent.Tick)
        }
    }

    private fun stepIfDue() {
        if (now < nextStepAt) return
        if (group.isHeld) {
            heldSince = heldSince ?: now
            return
        }
        heldSince?.let { longestHold = maxOf(longestHold, now - it) }
        heldSince = null
        group.runStep()
        nextStepAt = now + if (isBalanced()) BALANCED_STEP_TIME else UNBALANCED_STEP_TIME
        counts.forEach { rank ->
            rank.indices.forEach { rank[it] += tokensOf(it) }
        }
    }

    private fun tokensOf(expert: Int): Long = when (expert) {
        hotExpert -> HOT_TOKENS
        warmExpert -> WARM_TOKENS
        else -> TOKENS
    }

    /** The hot expert gets four ninths of the tokens, so at least three ranks must hold it. */
    private fun isBalanced(): Boolean = (0 until RANKS).count { hotExpert in heldBy(it) } >= 3

    private fun heldBy(rank: Int): List<Int> {
        val initial = GroupMap.initial(1, RANKS, EXPERTS)
        return group.experts(rank, initial).second.single()
    }

    private fun reduce(event: GroupKeeperEvent) {
        val step = keeper.on(event, now)
        keeper = step.state
        step.effects.forEach(::perform)
    }

    private fun perform(effect: GroupKeeperEffect) {
        when (effect) {
            is GroupKeeperEffect.Log -> Unit
            is GroupKeeperEffect.ReadReport -> {
                val seen = group.report(effect.rank)
                schedule(REPORT_AGE) { reduce(GroupKeeperEvent.Reported(effect.rank, seen)) }
            }
            is GroupKeeperEffect.ReadCounts -> {
                val seen = counts[effect.rank].toList().toPersistentList()
                val event =
                    GroupKeeperEvent.Counted(effect.rank, group.epoch, group.step, seen)
                schedule(ANSWER_TIME) { reduce(event) }
            }
            is GroupKeeperEffect.ReadMap -> {
                val lists = listOf(heldBy(effect.rank).toPersistentList()).toPersistentList()
                val version = group.report(effect.rank).mapVersion
                val event = GroupKeeperEvent.Listed(effect.rank, group.epoch, version, lists)
                schedule(ANSWER_TIME) { reduce(event) }
            }
            is GroupKeeperEffect.SendOrder -> sendOrder(effect)
        }
    }

    private fun sendOrder(effect: GroupKeeperEffect.SendOrder) {
        val isLost = random.nextDouble() < lossRate || isSuspended(effect)
        schedule(if (isLost) ORDER_TIMEOUT else ANSWER_TIME) {
            val outcome = when {
                isLost -> OrderOutcome.NO_ANSWER
                isCopying(effect) -> OrderOutcome.BEGUN
                else -> group.execute(effect.rank, effect.order, effect.epoch, effect.fence)
            }
            if (outcome == OrderOutcome.DONE) suspendAfter(effect)
            reduce(
                GroupKeeperEvent.Answered(
                    effect.rank,
                    effect.epoch,
                    effect.fence,
                    effect.order,
                    outcome
                )
            )
        }
    }

    /** Whether the instance of the rank is suspended, through which orders reach it. */
    private fun isSuspended(effect: GroupKeeperEffect.SendOrder): Boolean =
        effect.rank == HOLDING_RANK && now < suspendedUntil

    /** A delegated hold is sent by an entry that takes no other part in the change. */
    private fun suspendAfter(effect: GroupKeeperEffect.SendOrder) {
        val isSentByRank = effect.order is RankOrder.Hold && !effect.isDelegated
        if (isSentByRank) suspendedUntil = now + suspensionAfterHold
    }

    /** Whether the rank still copies experts; copying ends without a further order. */
    private fun isCopying(effect: GroupKeeperEffect.SendOrder): Boolean {
        if (effect.order !is RankOrder.Prepare) return false
        val since = copyingSince.getOrPut(effect.rank to effect.order) {
            schedule(COPY_TIME) {
                group.execute(effect.rank, effect.order, effect.epoch, effect.fence)
            }
            now
        }
        return now < since + COPY_TIME
    }

    private fun schedule(delay: Duration, run: () -> Unit) {
        scheduled += ScheduledAction(now + delay, run)
    }

    private companion object {
        val TICK = 5.milliseconds
        val ANSWER_TIME = 5.milliseconds
        val REPORT_AGE = 300.milliseconds
        val ORDER_TIMEOUT = 40.milliseconds
        val COPY_TIME = 200.milliseconds
        const val TOKENS = 100L
        const val WARM_TOKENS = 300L
        const val HOT_TOKENS = 560L
    }
}
