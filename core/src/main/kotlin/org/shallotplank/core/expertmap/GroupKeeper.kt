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
import org.shallotplank.core.gateway.StreamPauses
import org.shallotplank.core.log.LogRecord

/** Next state of a [GroupKeeper] and the side effects that it requests. */
public typealias GroupKeeperStep = Step<GroupKeeper, GroupKeeperEffect>

/**
 * The one process that changes the expert map of a rank group.
 *
 * All ranks must switch maps at the same step. A change goes through these stages: every rank
 * prepares the map; one rank holds a step that has not begun, which stops the whole group there;
 * every rank is armed to switch at that step; the step is released only after all ranks have
 * confirmed. If the keeper is replaced during a change, the group stays held and consistent, and
 * the next keeper first reads from the ranks how far the change got.
 *
 * An order may get no answer and still be executed seconds later. Every order is therefore
 * idempotent and safe to arrive late: a version is armed for one step only, a step that has begun
 * cannot be held, armed or released again, and ranks refuse the orders of a previous keeper by its
 * fencing number. Where ranks do not check fencing numbers, each state of the group shows which
 * orders of earlier keepers may still arrive, and the keeper goes on from there:
 * - Ranks are armed only while a step is held, and a rank refuses to arm a version once a higher
 *   one is prepared. A keeper therefore prepares the map in use under a new version before it
 *   releases a step that it found held, and before its first change; see [KeeperStage.Superseding].
 * - A release that begins a change is sent only when all ranks are armed, so that a change is
 *   completed if all ranks are found armed.
 * - Ranks are disarmed only while the step is held at every rank, where a change holds it at one.
 *
 * @property fence fencing number of this keeper's lease; incremented when a change is undone, so
 *   that ranks refuse orders of that change that are still in flight.
 * @property ranks number of ranks of the group.
 */
public data class GroupKeeper(
    val group: String,
    val fence: Long,
    val ranks: Int,
    val placement: PlacementProfile,
    val settings: GroupKeeperSettings,
    val stage: KeeperStage,
    /** Number of times that the group was formed; 0 until a rank has reported it. */
    val epoch: Long = 0,
    val reports: PersistentMap<Int, ReceivedReport> = persistentMapOf(),
    /** The map in use, null before it is known. */
    val map: GroupMap? = null,
    /** The first step that ran with [map]. */
    val mapStep: Long = 0,
    val lastVersion: Long = 0,
    /** Pauses of the streams that the entry of this keeper serves, null if none were observed. */
    val pauses: StreamPauses? = null,
    /**
     * Part of a pause that each unit of imbalance adds, null before it was observed.
     *
     * Observed between jumps of demand only: right after one, the pauses still show the imbalance
     * before it.
     */
    val pausePerImbalance: Duration? = null,
    val demand: GroupDemand =
        GroupDemand.unknown(placement.layers, placement.expertsPerLayer),
    val counts: PersistentMap<Int, PersistentList<Long>> = persistentMapOf(),
    /** Ranks whose counts are still missing in the current round. */
    val awaitedCounts: PersistentSet<Int> = persistentSetOf(),
    /** The highest step that is known to have begun. */
    val latestStep: Long = 0,
    val pace: StepPace = StepPace(),
    val requestedAt: Instant = Instant.DISTANT_PAST,
    val countsRequestedAt: Instant = Instant.DISTANT_PAST,
    val plannedAt: Instant = Instant.DISTANT_PAST,
    /** Value of [GroupDemand.jumps] when the last plan was made. */
    val plannedJumps: Int = 0,
    /** Ranks that were slow when the last plan was made. */
    val plannedSlowRanks: Set<Int> = emptySet(),
    /** Slowdown of each slow rank for which the last change of the map was planned. */
    val plannedSlowdowns: Map<Int, Double> = emptyMap(),
    val polledAt: Instant = Instant.DISTANT_PAST,
    /** When the reports of all ranks were last requested because of long pauses. */
    val allPolledAt: Instant = Instant.DISTANT_PAST,
    /** Number of such requests since pauses were last acceptable. */
    val allPolls: Int = 0,
    val nextPolledRank: Int = 0,
    /** When an order last got no answer. */
    val lastUnansweredOrderAt: Instant = Instant.DISTANT_PAST,
    /** Whether every rank refuses to arm earlier versions, since the last arming. */
    val hasSuperseded: Boolean = false,
    /** The highest step that an earlier keeper, or a change that was undone, may have held. */
    val usedStep: Long = 0,
    /** Whether every rank was disarmed, and so refuses earlier orders, since the last arming. */
    val isDisarmed: Boolean = false,
    /** Whether a rank refused the fencing number; this keeper must then give no more orders. */
    val isFenced: Boolean = false,
    /** Whether changes may be planned; a keeper that is about to end completes the last one. */
    val mayPlan: Boolean = true
) {
    /**
     * Slowdown, relative to the group's median, of the ranks that are slower than most others.
     *
     * Computed from the last reports. The median is the reference because all ranks are slow for a
     * while after they have started.
     */
    public val slowRanks: Map<Int, Double>
        get() = ranksSlowerBy(MIN_SLOW_RANK_SLOWDOWN)

    /** Ranks that are slower than the median by [slowdown] or more, with their slowdowns. */
    internal fun ranksSlowerBy(slowdown: Double): Map<Int, Double> {
        val slowdowns = allRanks.map { reports[it]?.report?.slowdown ?: 1.0 }
        if (slowdowns.all { it < slowdown }) return emptyMap()
        val median = slowdowns.sorted()[ranks / 2].coerceAtLeast(1.0)
        return allRanks.associateWith { slowdowns[it] / median }.filterValues { it >= slowdown }
    }

    /** Whether demand has jumped or a rank has turned slow since the last plan was made. */
    internal val isPlanOutdated: Boolean
        get() = demand.jumps != plannedJumps || slowRanks.keys.any { it !in plannedSlowRanks }

    /** Whether to plan before the next planning interval has passed. */
    internal val isPlanDue: Boolean get() = mayBeginChange && isPlanOutdated

    /** Whether a change may begin; none that would hold a step that is in use already. */
    internal val mayBeginChange: Boolean
        get() = mayPlan && (settings.areFencesChecked || latestStep >= usedStep)

    internal val allRanks: IntRange get() = 0 until ranks

    /** A version that no rank has used: it is above all versions of this and previous keepers. */
    internal fun nextVersion(): Long {
        val seen = reports.values.maxOfOrNull {
            maxOf(it.report.mapVersion, it.report.preparedVersion ?: 0)
        } ?: 0
        return maxOf(seen, lastVersion, fence) + 1
    }

    public companion object {
        /** Number of fencing numbers and versions that the keeper of one lease may use. */
        public const val FENCES_PER_LEASE: Long = 10_000

        /** Smaller slowdowns are within the normal variation between ranks. */
        private const val MIN_SLOW_RANK_SLOWDOWN = 1.25
    }
}

/** A report and the time at which it arrived. */
public data class ReceivedReport(val report: RankReport, val at: Instant)

/**
 * Settings of a [GroupKeeper].
 *
 * @property sampledRanks number of ranks whose counts are read as a sample of the whole group; each
 *   reading has a cost.
 * @property countInterval time between two readings of the counts.
 * @property popularityHalfLife time after which a count has half of its weight.
 * @property maxLoadsPerRank most experts that one rank may copy for one change, over all layers.
 * @property minGain gain below which a change is not worth its cost; see the planner's settings.
 * @property areFencesChecked whether ranks refuse orders with a lower fencing number.
 */
public data class GroupKeeperSettings(
    val sampledRanks: Int,
    val countInterval: Duration,
    val popularityHalfLife: Duration,
    val maxLoadsPerRank: Int,
    val minGain: Double,
    val areFencesChecked: Boolean = true
)

/** Stage of the change, if any, that a [GroupKeeper] is making. */
public sealed interface KeeperStage {
    /** Reads the state of all ranks; only reports that arrive after [since] are used. */
    public data class Surveying(val since: Instant) : KeeperStage

    /** Reads the map in use from the ranks. */
    public data class ReadingMap(
        val known: PersistentMap<Int, PersistentList<PersistentList<Int>>> = persistentMapOf(),
        val askedAt: Instant
    ) : KeeperStage

    /**
     * Every rank is ordered to prepare [map], which is in use already, under a new version.
     *
     * Each rank then refuses to arm earlier versions, also by orders of earlier keepers that have
     * not arrived yet.
     */
    public data class Superseding(
        val version: Long,
        val map: GroupMap,
        val superseded: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** No change is in progress. */
    public data object Settled : KeeperStage

    /** The ranks copy the experts of [map]. */
    public data class Preparing(
        val version: Long,
        val map: GroupMap,
        val since: Instant,
        /** Earliest time at which the copies can be complete. */
        val expectedAt: Instant,
        /** Ranks that have confirmed that they are copying. */
        val begun: PersistentSet<Int> = persistentSetOf(),
        val prepared: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /**
     * One rank is ordered to hold [step].
     *
     * The instance that sends this order may be suspended right after it, and the group then stands
     * still until the rank can be reached again. Another entry therefore sends the order first; if
     * that fails, the keeper sends it.
     */
    public data class Holding(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val retries: Int = 0,
        val isDelegated: Boolean = true
    ) : KeeperStage

    /** The ranks are armed while [step] is held. */
    public data class Arming(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val armed: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** All ranks are armed, and [step] is being released. */
    public data class Releasing(val version: Long, val map: GroupMap, val step: Long) : KeeperStage

    /** The ranks switch to [map] when [step] begins. */
    public data class Switching(
        val version: Long,
        val map: GroupMap,
        val step: Long,
        val since: Instant
    ) : KeeperStage

    /**
     * Undoes an unfinished change.
     *
     * First repeats each hold under the new fencing number, since the step may just have been
     * released; only then disarms the ranks. Where ranks do not check fencing numbers, holds the
     * step at all other ranks instead, so that the group stands still whatever arrives at one.
     */
    public data class Undoing(
        val versionByRank: PersistentMap<Int, Long>,
        val stepByHeldRank: PersistentMap<Int, Long>,
        val heldAgain: PersistentSet<Int> = persistentSetOf(),
        val disarmed: PersistentSet<Int> = persistentSetOf()
    ) : KeeperStage

    /** No rank is armed; releases the steps that ranks still hold. */
    public data class LettingGo(val stepByRank: PersistentMap<Int, Long>) : KeeperStage
}

/** Events that a [GroupKeeper] handles. */
public sealed interface GroupKeeperEvent {
    /** A rank reported. */
    public data class Reported(val rank: Int, val report: RankReport) : GroupKeeperEvent

    /** A rank returned its last step and how often its requests used each expert, by layer. */
    public data class Counted(
        val rank: Int,
        val epoch: Long,
        val step: Long,
        val counts: PersistentList<Long>
    ) : GroupKeeperEvent

    /** A rank returned the experts that it holds, by layer. */
    public data class Listed(
        val rank: Int,
        val epoch: Long,
        val version: Long,
        val experts: PersistentList<PersistentList<Int>>
    ) : GroupKeeperEvent

    /** An order ended with [outcome], which may be that no answer came. */
    public data class Answered(
        val rank: Int,
        val epoch: Long,
        val fence: Long,
        val order: RankOrder,
        val outcome: OrderOutcome
    ) : GroupKeeperEvent

    /** The entry observed pauses of the group's streams, or none for some time. */
    public data class PausesObserved(val pauses: StreamPauses?) : GroupKeeperEvent

    /** Changes may be planned from now on, or no longer. */
    public data class PlanningChanged(val isAllowed: Boolean) : GroupKeeperEvent

    /** The periodic timer fired. */
    public data object Tick : GroupKeeperEvent
}

/** Side effects that a [GroupKeeper] requests. */
public sealed interface GroupKeeperEffect {
    /** Request the report of a rank. */
    public data class ReadReport(val rank: Int) : GroupKeeperEffect

    /** Request the counts of a rank. */
    public data class ReadCounts(val rank: Int) : GroupKeeperEffect

    /** Request the list of experts that a rank holds. */
    public data class ReadMap(val rank: Int) : GroupKeeperEffect

    /** Send an order to a rank. */
    public data class SendOrder(
        val rank: Int,
        val order: RankOrder,
        val epoch: Long,
        val fence: Long,
        /**
         * Whether another entry should send the order, so that neither the keeper's instance nor
         * that of the rank needs to run for the change to go on after it.
         */
        val isDelegated: Boolean = false
    ) : GroupKeeperEffect

    /** Write a log line. */
    public data class Log(val record: LogRecord) : GroupKeeperEffect
}

internal fun effects(vararg effects: GroupKeeperEffect): PersistentList<GroupKeeperEffect> =
    persistentListOf(*effects)
