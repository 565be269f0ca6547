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

/**
 * Random faults between keepers and ranks: orders that are lost, delayed or reordered, restarted
 * ranks, suspended keepers, and hand-overs to the next keeper.
 *
 * Where ranks check no fences, a keeper ends before the next one begins, and only its orders that
 * have not arrived yet may still be executed.
 */
class GroupKeeperFuzz {
    @Nested
    inner class AGroupThatChecksFences : AGroup(areFencesChecked = true)

    @Nested
    inner class AGroupThatChecksNoFences : AGroup(areFencesChecked = false)

    abstract class AGroup(private val areFencesChecked: Boolean) {
        @Test
        fun `never begins a step with two maps`() {
            val switches = seeds.sumOf { seed ->
                try {
                    KeeperSimulation(seed, areFencesChecked).runWithFaults()
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
            }
            assertTrue(switches > SEEDS, "only $switches changes of map in $SEEDS runs")
        }

        @Test
        fun `continues its steps after the last fault`() {
            for (seed in seeds) {
                val simulation = KeeperSimulation(seed, areFencesChecked)
                simulation.runWithFaults()
                assertTrue(
                    simulation.progressesWithoutFaults(),
                    "seed $seed: the group makes no steps"
                )
            }
        }
    }

    private companion object {
        const val SEEDS = 300L

        /** First seed of the runs; `scripts/fuzz --seed` sets another one. */
        val firstSeed: Long = java.lang.Long.getLong("shallotplank.fuzz.seed", 1L)
        val seeds = firstSeed until firstSeed + SEEDS
    }
}

private val placement = PlacementProfile(
    layers = 1,
    expertsPerLayer = 6,
    slotsPerRank = 3,
    spareSlots = 2,
    expertCopyTime = 100.milliseconds
)

private const val RANKS = 3

/** One run with a seed: a rank group, its keepers, and the messages in flight between them. */
private class KeeperSimulation(seed: Long, private val areFencesChecked: Boolean) {
    private val random = Random(seed)
    private val group = FakeRankGroup(RANKS, areFencesChecked)
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private val scheduled = PriorityQueue<ScheduledAction>(compareBy { it.at })
    private val keepers = mutableListOf<KeeperProcess>()
    private var term = 0L
    private var isFaultFree = false

    /** Whether the group has no requests and so begins no steps. */
    private var isIdle = false
    private val lossRate = random.nextDouble(0.0, 0.4)

    /** Whether reports come fresh through relays; without relays they show an older state. */
    private val hasRelays = random.nextBoolean()

    private class ScheduledAction(val at: Instant, val run: () -> Unit)

    /** A keeper, which may still run after the next keeper has started. */
    private class KeeperProcess(var state: GroupKeeper) {
        var suspendedUntil = Instant.DISTANT_PAST
        var hasEnded = false
    }

    fun runWithFaults(): Int {
        replaceKeeper()
        repeat(STEPS) {
            advance()
            if (random.nextInt(150) == 0) replaceKeeper()
            if (random.nextInt(400) == 0) group.reform()
            if (random.nextInt(60) == 0) {
                keepers.random(random).suspendedUntil = now + random.nextInt(6_000).milliseconds
            }
        }
        return group.switches
    }

    fun progressesWithoutFaults(): Boolean {
        isFaultFree = true
        isIdle = false
        replaceKeeper()
        repeat(RECOVERY_STEPS) { advance() }
        val before = group.step
        repeat(FAULT_FREE_STEPS) { advance() }
        return group.step > before
    }

    private fun advance() {
        now += TICK
        if (random.nextInt(100) == 0) isIdle = !isFaultFree && random.nextBoolean()
        while (scheduled.isNotEmpty() && scheduled.peek().at <= now) scheduled.poll().run()
        if (!isIdle && random.nextInt(2) == 0) group.runStep()
        for (keeper in keepers.toList()) {
            if (keeper.suspendedUntil <= now) reduce(keeper, GroupKeeperEvent.Tick)
        }
    }

    private fun replaceKeeper() {
        term++
        val keeper = GroupKeeper(
            group = "g",
            fence = term * GroupKeeper.FENCES_PER_LEASE,
            ranks = RANKS,
            placement = placement,
            settings = GroupKeeperSettings(
                sampledRanks = RANKS,
                countInterval = 500.milliseconds,
                popularityHalfLife = 1.seconds,
                maxLoadsPerRank = 2,
                minGain = 0.01,
                areFencesChecked = areFencesChecked
            ),
            stage = KeeperStage.Surveying(now)
        )
        keepers += KeeperProcess(keeper)
        if (keepers.size > (if (areFencesChecked) 2 else 1)) keepers.removeAt(0).hasEnded = true
    }

    private fun reduce(keeper: KeeperProcess, event: GroupKeeperEvent) {
        if (keeper.hasEnded && !areFencesChecked) return
        val step = keeper.state.on(event, now)
        keeper.state = step.state
        step.effects.forEach { perform(keeper, it) }
    }

    private fun perform(keeper: KeeperProcess, effect: GroupKeeperEffect) {
        when (effect) {
            is GroupKeeperEffect.Log -> Unit
            is GroupKeeperEffect.ReadReport -> {
                val report = group.report(effect.rank).copy(isFresh = hasRelays)
                val age = if (hasRelays) 5.milliseconds else 150.milliseconds
                answer(keeper, age) { GroupKeeperEvent.Reported(effect.rank, report) }
            }
            is GroupKeeperEffect.ReadCounts -> answer(keeper, 5.milliseconds) {
                val counts = List(placement.expertsPerLayer) { 1L + random.nextLong(1_000_000) }
                GroupKeeperEvent.Counted(
                    effect.rank,
                    group.epoch,
                    group.step,
                    counts.toPersistentList()
                )
            }
            is GroupKeeperEffect.ReadMap -> answer(keeper, 5.milliseconds) {
                val initial = GroupMap.initial(1, RANKS, placement.expertsPerLayer)
                val (version, experts) = group.experts(effect.rank, initial)
                val lists = experts.map { it.toPersistentList() }.toPersistentList()
                GroupKeeperEvent.Listed(effect.rank, group.epoch, version, lists)
            }
            is GroupKeeperEffect.SendOrder -> sendOrder(keeper, effect)
        }
    }

    private fun sendOrder(keeper: KeeperProcess, effect: GroupKeeperEffect.SendOrder) {
        val isLost = !isFaultFree && random.nextDouble() < lossRate
        if (!isLost) {
            answer(keeper, 5.milliseconds) { answered(effect, execute(effect)) }
            return
        }
        // No answer comes; the order is carried out at once, seconds later or never.
        when (random.nextInt(4)) {
            0 -> schedule(5.milliseconds) { execute(effect) }
            1, 2 -> schedule((2_000 + random.nextInt(10_000)).milliseconds) { execute(effect) }
        }
        schedule(200.milliseconds) { reduce(keeper, answered(effect, OrderOutcome.NO_ANSWER)) }
    }

    private fun execute(effect: GroupKeeperEffect.SendOrder): OrderOutcome = group.execute(
        effect.rank,
        effect.order,
        effect.epoch,
        effect.fence
    )

    private fun answered(effect: GroupKeeperEffect.SendOrder, outcome: OrderOutcome) =
        GroupKeeperEvent.Answered(
            effect.rank,
            effect.epoch,
            effect.fence,
            effect.order,
            outcome
        )

    private fun answer(keeper: KeeperProcess, delay: Duration, event: () -> GroupKeeperEvent) {
        schedule(delay * random.nextDouble(0.5, 2.0)) {
            val seen = event()
            val resumeDelay = (keeper.suspendedUntil - now).coerceAtLeast(Duration.ZERO)
            schedule(resumeDelay) { reduce(keeper, seen) }
        }
    }

    private fun schedule(delay: Duration, run: () -> Unit) {
        scheduled += ScheduledAction(now + delay, run)
    }

    private companion object {
        val TICK = 50.milliseconds
        const val STEPS = 1_200
        const val RECOVERY_STEPS = 400
        const val FAULT_FREE_STEPS = 100
    }
}
