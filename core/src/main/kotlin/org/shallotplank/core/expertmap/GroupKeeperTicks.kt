package org.shallotplank.core.expertmap

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Step
import org.shallotplank.core.then

/** Follows the time: repeats what has no answer, and looks after a settled group. */
internal fun GroupKeeper.onTick(now: Instant): GroupKeeperStep {
    if (isFenced) return Step(this)
    return countIfDue(now).then { it.stageTick(now) }
}

private fun GroupKeeper.countIfDue(now: Instant): GroupKeeperStep {
    if (epoch == 0L || now - countsAskedAt < settings.countInterval) return Step(this)
    val asked = sampledRanks().map { GroupKeeperEffect.ReadCounts(it) }
    val known = demand.endRound(settings.popularityHalfLife)
    return Step(copy(demand = known, countsAskedAt = now), asked.toPersistentList())
}

private fun GroupKeeper.stageTick(now: Instant): GroupKeeperStep {
    val present = stage
    val isPreparing = present is KeeperStage.Preparing
    return when {
        present is KeeperStage.Settled -> onSettledTick(now)
        isPreparing && now - present.since > PREPARE_TIMEOUT ->
            enter(KeeperStage.Surveying(now), now)
        // Nothing is armed yet, and a higher version may be prepared at any time.
        isPreparing && demand.jumps != plannedJumps ->
            copy(stage = KeeperStage.Settled).plan(now)
        now < nextWantedAt(present) -> Step(this)
        else -> Step(copy(reportsAskedAt = now), wanted(now).toPersistentList())
    }
}

/** When the questions and orders of [present] are to be repeated. */
private fun GroupKeeper.nextWantedAt(present: KeeperStage): Instant = when {
    present is KeeperStage.Preparing -> nextPrepareAt(present)
    present.givesOrders() -> reportsAskedAt + ORDER_INTERVAL
    else -> reportsAskedAt + SURVEY_INTERVAL
}

/** Ranks that may not have heard of the map are told soon; the others are asked later. */
private fun GroupKeeper.nextPrepareAt(present: KeeperStage.Preparing): Instant {
    val isHeard = allRanks.all { it in present.begun || it in present.prepared }
    val soon = reportsAskedAt + ORDER_INTERVAL
    if (!isHeard && soon < present.expectedAt) return soon
    return maxOf(reportsAskedAt + PREPARE_INTERVAL, present.expectedAt)
}

private fun KeeperStage.givesOrders(): Boolean = when (this) {
    is KeeperStage.Holding, is KeeperStage.Arming, is KeeperStage.Releasing,
    is KeeperStage.Undoing, is KeeperStage.LettingGo -> true
    else -> false
}

private fun GroupKeeper.onSettledTick(now: Instant): GroupKeeperStep {
    val asked = mutableListOf<GroupKeeperEffect>()
    var next = this
    if (now - reportsAskedAt >= POLL_INTERVAL) {
        asked += GroupKeeperEffect.ReadReport(nextPolledRank)
        next = next.copy(reportsAskedAt = now, nextPolledRank = (nextPolledRank + 1) % ranks)
    }
    val step = Step(next, asked.toPersistentList())
    return if (now - plannedAt >= settings.countInterval) step.then { it.plan(now) } else step
}

/** Ranks whose counts are read, spread evenly. */
private fun GroupKeeper.sampledRanks(): List<Int> {
    val wanted = settings.sampledRanks.coerceIn(1, ranks)
    return List(wanted) { it * ranks / wanted }.distinct()
}

/** An order without an answer is given again after this time, about that of a pass. */
private val ORDER_INTERVAL = 50.milliseconds

private val PREPARE_INTERVAL = 100.milliseconds

private val SURVEY_INTERVAL = 150.milliseconds

/** How often a settled group is looked at, one rank after the other. */
private val POLL_INTERVAL = 250.milliseconds

/** Copies that take longer than this have failed. */
private val PREPARE_TIMEOUT = 20.seconds
