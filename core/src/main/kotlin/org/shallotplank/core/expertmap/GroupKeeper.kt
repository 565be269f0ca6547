package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.Step
import org.shallotplank.core.gateway.PlacementProfile
import org.shallotplank.core.log.LogRecord

/** Next state of a [GroupKeeper] and what it wants done. */
public typealias GroupKeeperStep = Step<GroupKeeper, GroupKeeperEffect>

/**
 * The one process that changes the expert map of a rank group.
 *
 * All ranks have to switch between the same two passes. A change goes through these stages: every
 * rank prepares the map; one rank holds a pass that has not begun, which stops the whole group
 * there; every rank is armed to switch at that pass; only when all have confirmed is the pass
 * released. A keeper that is replaced in between leaves the group held and consistent, and the
 * next one first finds out how far it came.
 *
 * Orders may get no answer and be carried out seconds later. Each is therefore safe to repeat, and
 * to arrive late: a version is armed for one pass only, a pass that has begun cannot be held, armed
 * or released again, and ranks refuse the orders of an earlier keeper by its fencing number.
 *
 * @property fence fencing number of this keeper's lease; it rises when a change is undone, so that
 *   orders of that change that are still on their way are refused.
 * @property ranks number of ranks of the group.
 */
public data class GroupKeeper(
    val group: String,
    val fence: Long,
    val ranks: Int,
    val placement: PlacementProfile,
    val settings: GroupKeeperSettings,
    val stage: KeeperStage,
    /** Counts how often the group was formed; 0 before a rank has told it. */
    val epoch: Long = 0,
    val reports: PersistentMap<Int, ReceivedReport> = persistentMapOf(),
    /** The map in use, null before it is known. */
    val map: GroupMap? = null,
    /** The pass that was the first with [map]. */
    val mapStep: Long = 0,
    val lastVersion: Long = 0,
    val demand: GroupDemand =
        GroupDemand.unknown(placement.layers, placement.expertsPerLayer),
    val counts: PersistentMap<Int, PersistentList<Long>> = persistentMapOf(),
    /** Ranks whose counts of the present round have not come yet. */
    val awaitedCounts: PersistentSet<Int> = persistentSetOf(),
    /** The highest pass that is known to have begun. */
    val latestStep: Long = 0,
    val requestedAt: Instant = Instant.DISTANT_PAST,
    val countsRequestedAt: Instant = Instant.DISTANT_PAST,
    val plannedAt: Instant = Instant.DISTANT_PAST,
    /** Jumps of the demand when the last plan was made. */
    val plannedJumps: Int = 0,
    /** Ranks that were slow when the last plan was made. */
    val plannedSlowRanks: Set<Int> = emptySet(),
    val polledAt: Instant = Instant.DISTANT_PAST,
    val nextPolledRank: Int = 0,
    /** When an order last got no answer. */
    val lastUnansweredOrderAt: Instant = Instant.DISTANT_PAST,
    /** Whether every rank has refused to be armed by earlier orders since the last arming. */
    val isDisarmed: Boolean = false,
    /** Whether a rank refused the fencing number, so that nothing may be ordered any more. */
    val isFenced: Boolean = false
) {
    /**
     * Pace of the ranks that are slower than most of the group, as they last reported.
     *
     * The others set the measure, since all ranks are slow for a while after they have started.
     */
    public val slowRanks: Map<Int, Double>
        get() {
            val slowdowns = allRanks.map { reports[it]?.report?.slowdown ?: 1.0 }
            val median = slowdowns.sorted()[ranks / 2].coerceAtLeast(1.0)
            return allRanks.associateWith { slowdowns[it] / median }
                .filterValues { it >= MIN_SLOW_RANK_SLOWDOWN }
        }

    /** Whether the demand or the ranks have changed since the last plan in a way that it misses. */
    internal val isPlanOutdated: Boolean
        get() = demand.jumps != plannedJumps || slowRanks.keys.any { it !in plannedSlowRanks }

    internal val allRanks: IntRange get() = 0 until ranks

    /** A version that no rank has had, since it is above all of this and earlier keepers. */
    internal fun nextVersion(): Long {
        val seen = reports.values.maxOfOrNull {
            maxOf(it.report.mapVersion, it.report.preparedVersion ?: 0)
        } ?: 0
        return maxOf(seen, lastVersion, fence) + 1
    }

    public companion object {
        /** Fencing numbers and versions that the keeper of one lease may use. */
        public const val FENCES_PER_LEASE: Long = 10_000

        /** Paces below this are within what ranks differ by at any time. */
        private const val MIN_SLOW_RANK_SLOWDOWN = 1.25
    }
}

/** A report and when it came. */
public data class ReceivedReport(val report: RankReport, val at: Instant)

/**
 * How a group is kept.
 *
 * @property sampledRanks ranks whose counts stand for all; each reading is priced.
 * @property countInterval time between two readings of the counts.
 * @property popularityHalfLife time after which a count weighs half.
 * @property maxLoadsPerRank experts that one rank may copy for one change, over all layers.
 * @property minGain gain below which a change does not pay; see the planner's settings.
 */
public data class GroupKeeperSettings(
    val sampledRanks: Int,
    val countInterval: Duration,
    val popularityHalfLife: Duration,
    val maxLoadsPerRank: Int,
    val minGain: Double
)

/** Where a [GroupKeeper] stands. */
public sealed interface KeeperStage {
    /** Finds out what the ranks are at; reports count that came after [since]. */
    public data class Surveying(val since: Instant) : KeeperStage

    /** Asks the ranks for the map that they use. */
    public data class ReadingMap(
        val known: PersistentMap<Int, PersistentList<PersistentList<Int>>> = persistentMapOf(),
        val askedAt: Instant
    ) : KeeperStage

    /** Nothing is under way. */
    public data object Settled : KeeperStage

    /** The ranks copy the experts of [map]. */
    public data class Preparing(
        val version: Long,
        val map: GroupMap,
        val since: Instant,
        /** When the copies can be complete. */
        val expectedAt: Instant,
        /** Ranks that are known to copy. */
        val begun: PersistentSet<Int> = persistentSetOf(),
        val prepared: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** One rank is asked to hold pass [step]. */
    public data class Holding(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val retries: Int = 0
    ) : KeeperStage

    /** The ranks are armed while pass [step] is held. */
    public data class Arming(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val armed: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** All ranks are armed, and pass [step] is released. */
    public data class Releasing(val version: Long, val map: GroupMap, val step: Long) : KeeperStage

    /** The ranks switch as pass [step] begins. */
    public data class Switching(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val since: Instant
    ) : KeeperStage

    /**
     * A change that was left is undone.
     *
     * The held passes are held again first, under the new fencing number, since what holds them may
     * just have let go; only then are the ranks disarmed.
     */
    public data class Undoing(
        val versionByRank: PersistentMap<Int, Long>,
        val stepByHeldRank: PersistentMap<Int, Long>,
        val heldAgain: PersistentSet<Int> = persistentSetOf(),
        val disarmed: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** Ranks that hold a pass with nothing armed let it go. */
    public data class LettingGo(val stepByRank: PersistentMap<Int, Long>) : KeeperStage
}

/** Everything that can happen to a [GroupKeeper]. */
public sealed interface GroupKeeperEvent {
    /** A rank reported. */
    public data class Reported(val rank: Int, val report: RankReport) : GroupKeeperEvent

    /** A rank told its last pass and how often its requests chose each expert, by layer. */
    public data class Counted(
        val rank: Int,
        val epoch: Long,
        val step: Long,
        val counts: PersistentList<Long>
    ) : GroupKeeperEvent

    /** A rank told which experts it holds, by layer. */
    public data class Listed(
        val rank: Int,
        val epoch: Long,
        val version: Long,
        val experts: PersistentList<PersistentList<Int>>
    ) : GroupKeeperEvent

    /** An order was answered, or was not. */
    public data class Answered(
        val rank: Int,
        val epoch: Long,
        val fence: Long,
        val order: RankOrder,
        val outcome: OrderOutcome
    ) : GroupKeeperEvent

    /** Time passed. */
    public data object Tick : GroupKeeperEvent
}

/** Everything that a [GroupKeeper] can want done. */
public sealed interface GroupKeeperEffect {
    /** Ask a rank for its report. */
    public data class ReadReport(val rank: Int) : GroupKeeperEffect

    /** Ask a rank for its counts. */
    public data class ReadCounts(val rank: Int) : GroupKeeperEffect

    /** Ask a rank for the experts that it holds. */
    public data class ReadMap(val rank: Int) : GroupKeeperEffect

    /** Give a rank an order. */
    public data class SendOrder(
        val rank: Int,
        val order: RankOrder,
        val epoch: Long,
        val fence: Long
    ) : GroupKeeperEffect

    /** Write a log line. */
    public data class Log(val record: LogRecord) : GroupKeeperEffect
}

internal fun effects(vararg effects: GroupKeeperEffect): PersistentList<GroupKeeperEffect> =
    persistentListOf(*effects)
