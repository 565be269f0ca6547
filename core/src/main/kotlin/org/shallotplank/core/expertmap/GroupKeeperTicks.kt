package org.shallotplank.core.expertmap

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.Step
import org.shallotplank.core.then

/** Handles a tick: reads counts and reports, repeats unanswered requests, and plans if settled. */
internal fun GroupKeeper.onTick(now: Instant): GroupKeeperStep {
    if (isFenced) return Step(this)
    return countIfDue(now).then { it.pollIfDue(now) }.then { it.stageTick(now) }
}

private fun GroupKeeper.countIfDue(now: Instant): GroupKeeperStep {
    if (epoch == 0L || now - countsRequestedAt < settings.countInterval) return Step(this)
    val ranks = sampledRanks()
    // Ends the previous round if a rank did not answer it.
    val known = if (awaitedCounts.isEmpty()) this else endRound()
    val asked = ranks.map { GroupKeeperEffect.ReadCounts(it) }
    return Step(
        known.copy(awaitedCounts = ranks.toPersistentSet(), countsRequestedAt = now),
        asked.toPersistentList()
    )
}

internal fun GroupKeeper.endRound(): GroupKeeper =
    copy(demand = demand.endRound(settings.popularityHalfLife))

/**
 * Plans immediately when demand has jumped or a rank has turned slow, unless ranks are being
 * switched.
 */
internal fun GroupKeeper.planIfChanged(now: Instant): GroupKeeperStep {
    val isFree = stage is KeeperStage.Settled || stage is KeeperStage.Preparing
    if (!isFree || isFenced || !isPlanDue) return Step(this)
    // No rank is armed yet, and a higher version may be prepared at any time.
    return copy(stage = KeeperStage.Settled).plan(now)
}

private fun GroupKeeper.stageTick(now: Instant): GroupKeeperStep {
    val current = stage
    val isPreparing = current is KeeperStage.Preparing
    return when {
        current is KeeperStage.Settled -> onSettledTick(now)
        isPreparing && now - current.since > PREPARE_TIMEOUT ->
            enter(KeeperStage.Surveying(now), now)
        isPreparing && isPlanOutdated -> planIfChanged(now)
        now < nextRequestAt(current) -> Step(this)
        else -> Step(copy(requestedAt = now), outstanding(now).toPersistentList())
    }
}

/** When the requests and orders of [current] are repeated. */
private fun GroupKeeper.nextRequestAt(current: KeeperStage): Instant = when {
    current is KeeperStage.Preparing -> nextPrepareAt(current)
    current.givesOrders() || current is KeeperStage.Switching -> requestedAt + ORDER_INTERVAL
    else -> requestedAt + SURVEY_INTERVAL
}

/**
 * When the order is repeated or ranks that copy are asked for progress.
 *
 * The order is repeated soon while a rank has not confirmed it. Ranks are asked for progress only
 * once the copies can be complete.
 */
private fun GroupKeeper.nextPrepareAt(current: KeeperStage.Preparing): Instant {
    val isKnownToAll = allRanks.all { it in current.begun || it in current.prepared }
    val repeatAt = requestedAt + ORDER_INTERVAL
    if (!isKnownToAll && repeatAt < current.expectedAt) return repeatAt
    return maxOf(requestedAt + PREPARE_INTERVAL, current.expectedAt)
}

internal fun KeeperStage.givesOrders(): Boolean = when (this) {
    is KeeperStage.Superseding, is KeeperStage.Holding, is KeeperStage.Arming,
    is KeeperStage.Releasing, is KeeperStage.Undoing, is KeeperStage.LettingGo -> true
    else -> false
}

private fun GroupKeeper.onSettledTick(now: Instant): GroupKeeperStep =
    if (mayBeginChange && now - plannedAt >= settings.countInterval) plan(now) else Step(this)

/**
 * Reads the reports of some ranks in rotation: held step, armed map and slowdown.
 *
 * Reads those of all ranks while pauses are too long, since one slow rank is enough for that. Reads
 * them less and less often, as the pauses may be due to something else.
 */
private fun GroupKeeper.pollIfDue(now: Instant): GroupKeeperStep {
    if (epoch == 0L) return Step(this)
    val arePausesLong = pauses?.let { it.recent > it.acceptable } == true
    if (!arePausesLong) return copy(allPolls = 0).pollNextIfDue(now)
    val doublings = (allPolls - 1).coerceIn(0, MAX_POLL_DOUBLINGS)
    if (now - allPolledAt < ALL_POLL_INTERVAL * (1 shl doublings)) return pollNextIfDue(now)
    return Step(
        copy(polledAt = now, allPolledAt = now, allPolls = allPolls + 1),
        allRanks.map { GroupKeeperEffect.ReadReport(it) }.toPersistentList()
    )
}

private fun GroupKeeper.pollNextIfDue(now: Instant): GroupKeeperStep {
    if (now - polledAt < POLL_INTERVAL) return Step(this)
    val count = maxOf(MIN_POLLED_RANKS, ranks / POLL_ROUNDS).coerceAtMost(ranks)
    val asked = List(count) { GroupKeeperEffect.ReadReport((nextPolledRank + it) % ranks) }
    return Step(
        copy(polledAt = now, nextPolledRank = (nextPolledRank + count) % ranks),
        asked.toPersistentList()
    )
}

/** Ranks whose counts are read, evenly spaced over the group. */
private fun GroupKeeper.sampledRanks(): List<Int> {
    val count = settings.sampledRanks.coerceIn(1, ranks)
    return List(count) { it * ranks / count }.distinct()
}

/** Time after which an unanswered order is repeated; about the time of a step. */
private val ORDER_INTERVAL = 50.milliseconds

private val PREPARE_INTERVAL = 100.milliseconds

private val SURVEY_INTERVAL = 150.milliseconds

/** Interval between reads of reports; each reads the next part of the group. */
private val POLL_INTERVAL = 250.milliseconds

/** Minimum time between reads of all reports, which are sent between zones. */
private val ALL_POLL_INTERVAL = 500.milliseconds

/** Limits the time between reads of all reports to four seconds. */
private const val MAX_POLL_DOUBLINGS = 3

/** A slow rank is detected within two seconds, in small groups sooner. */
private const val POLL_ROUNDS = 8
private const val MIN_POLLED_RANKS = 4

/** Copies that take longer than this are considered failed. */
private val PREPARE_TIMEOUT = 20.seconds
