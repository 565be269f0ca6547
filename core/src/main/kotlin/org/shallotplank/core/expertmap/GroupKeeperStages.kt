package org.shallotplank.core.expertmap

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord

/** Enters [next], logs it, and sends its first requests and orders. */
internal fun GroupKeeper.enter(next: KeeperStage, now: Instant): GroupKeeperStep {
    val record = logRecord(
        LogEvent.GROUP_STAGE,
        "group" to group,
        "epoch" to epoch,
        "fence" to fence,
        "stage" to next::class.simpleName,
        "detail" to next.detail()
    )
    val entered = copy(stage = next)
    val log: GroupKeeperEffect = GroupKeeperEffect.Log(record)
    return Step(
        entered.copy(requestedAt = now),
        (listOf(log) + entered.outstanding(now)).toPersistentList()
    )
}

private fun KeeperStage.detail(): String? = when (this) {
    is KeeperStage.Superseding -> "version $version"
    is KeeperStage.Preparing -> "version $version"
    is KeeperStage.Holding -> "version $version step $step"
    is KeeperStage.Arming -> "version $version step $step"
    is KeeperStage.Releasing -> "version $version step $step"
    is KeeperStage.Switching -> "version $version step $step"
    is KeeperStage.Undoing -> "held ranks ${stepByHeldRank.keys.joinToString(",")}"
    is KeeperStage.LettingGo -> "held ranks ${stepByRank.keys.joinToString(",")}"
    else -> null
}

internal fun RankOrder.summary(): String = when (this) {
    is RankOrder.Prepare -> "prepare $version"
    is RankOrder.Arm -> "arm $version at $step"
    is RankOrder.Disarm -> "disarm $version"
    is RankOrder.Hold -> "hold $step"
    is RankOrder.Release -> "release $step"
}

internal fun GroupKeeper.stageName(): String = stage::class.simpleName.orEmpty()

/** Requests and orders of the current stage that have not succeeded yet. */
internal fun GroupKeeper.outstanding(now: Instant): List<GroupKeeperEffect> = when (
    val current = stage
) {
    is KeeperStage.Surveying -> allRanks.map { GroupKeeperEffect.ReadReport(it) }
    is KeeperStage.ReadingMap ->
        allRanks.filter { it !in current.known }.map { GroupKeeperEffect.ReadMap(it) }
    is KeeperStage.Superseding -> {
        val order = RankOrder.Prepare(current.version, current.map)
        allRanks.filter { it !in current.superseded }.map { sendOrder(it, order) }
    }
    is KeeperStage.Settled -> emptyList()
    is KeeperStage.Preparing -> outstandingPrepares(current, now)
    is KeeperStage.Holding -> {
        val order = RankOrder.Hold(current.step)
        listOf(sendOrder(HOLDING_RANK, order, current.isDelegated))
    }
    is KeeperStage.Arming -> {
        val order = RankOrder.Arm(current.version, current.step)
        allRanks.filter { it !in current.armed }.map { sendOrder(it, order) }
    }
    is KeeperStage.Releasing -> listOf(sendOrder(HOLDING_RANK, RankOrder.Release(current.step)))
    // All ranks are armed, so one rank shows whether the step has begun. Counts are never stale but
    // are unavailable while the rank's relay is down.
    is KeeperStage.Switching -> listOf(
        GroupKeeperEffect.ReadCounts(HOLDING_RANK),
        GroupKeeperEffect.ReadReport(HOLDING_RANK)
    )
    is KeeperStage.Undoing -> {
        val open = current.stepByHeldRank.filterKeys { it !in current.heldAgain }
        if (open.isNotEmpty()) {
            open.map { (rank, step) -> sendOrder(rank, RankOrder.Hold(step)) }
        } else {
            current.versionByRank.filterKeys { it !in current.disarmed }
                .map { (rank, version) -> sendOrder(rank, RankOrder.Disarm(version)) }
        }
    }
    is KeeperStage.LettingGo ->
        current.stepByRank.map { (rank, step) -> sendOrder(rank, RankOrder.Release(step)) }
}

/**
 * Orders and report requests to the ranks that have not prepared the map.
 *
 * With a large map, ranks that are copying are asked for reports rather than sent the map again.
 */
private fun GroupKeeper.outstandingPrepares(
    current: KeeperStage.Preparing,
    now: Instant
): List<GroupKeeperEffect> {
    val order = RankOrder.Prepare(current.version, current.map)
    val areCopiesDue = now >= current.expectedAt
    val isOverdue = now >= current.expectedAt + COPIES_OVERDUE
    return allRanks.filter { it !in current.prepared }.mapNotNull { rank ->
        when {
            isOverdue || rank !in current.begun -> sendOrder(rank, order)
            !areCopiesDue -> null
            isMapLong -> GroupKeeperEffect.ReadReport(rank)
            else -> sendOrder(rank, order)
        }
    }
}

private val GroupKeeper.isMapLong: Boolean
    get() = placement.layers * placement.slotsPerRank * ranks > LONG_MAP_SLOTS

private fun GroupKeeper.sendOrder(
    rank: Int,
    order: RankOrder,
    isDelegated: Boolean = false
): GroupKeeperEffect = GroupKeeperEffect.SendOrder(rank, order, epoch, fence, isDelegated)

/** Rank at which the group is held; any rank works, as all ranks begin each step together. */
internal const val HOLDING_RANK = 0

/** A rank may have lost the order if its copies are overdue by this much. */
private val COPIES_OVERDUE = 1.seconds

/** A map with more slots takes over 4 KB, and it is sent to every rank. */
private const val LONG_MAP_SLOTS = 1_000
