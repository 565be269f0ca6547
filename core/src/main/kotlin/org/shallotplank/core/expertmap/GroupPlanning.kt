package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.placement.MapPlan
import org.shallotplank.core.placement.MapPlanner
import org.shallotplank.core.placement.PlacementSettings
import org.shallotplank.core.placement.RankSpeeds
import org.shallotplank.core.then

/** Searches for a better map and starts the change to it, if there is one. */
internal fun GroupKeeper.plan(now: Instant): GroupKeeperStep {
    val current = map ?: return Step(this)
    val attempted =
        copy(plannedAt = now, plannedJumps = demand.jumps, plannedSlowRanks = slowRanks.keys)
    if (!demand.isSettled) return Step(attempted)
    val plan = planFor(current)?.takeIf { it.imbalanceBefore >= MIN_MEAN_IMBALANCE }
        ?: return Step(attempted)
    val version = nextVersion()
    val next = GroupMap.of(plan.map, placement.expertsPerLayer)
    val record = logRecord(
        LogEvent.GROUP_MAP_PLANNED,
        "group" to group,
        "epoch" to epoch,
        "version" to version,
        "experts_loaded" to plan.expertsLoaded,
        "slowness_before" to "%.3f".format(plan.imbalanceBefore),
        "slowness_after" to "%.3f".format(plan.imbalanceAfter)
    )
    return Step(attempted.copy(lastVersion = version), effects(GroupKeeperEffect.Log(record)))
        .then { it.enter(KeeperStage.Preparing(version, next, now, now + it.copyTime(next)), now) }
}

/** Copy time of the rank that must copy the most experts for [next]. */
private fun GroupKeeper.copyTime(next: GroupMap): Duration {
    val current = map ?: return Duration.ZERO
    val most = allRanks.maxOf { rank ->
        next.layers.indices.sumOf { layer ->
            (next.layers[layer][rank] - current.layers[layer][rank].toSet()).size
        }
    }
    return placement.expertCopyTime * most
}

private fun GroupKeeper.planFor(current: GroupMap): MapPlan? {
    val slots = placement.slotsPerRank
    val settings = PlacementSettings(
        expertBytes = 1,
        weightStoreBytesPerSecond = Long.MAX_VALUE / OVERFLOW_DIVISOR,
        triggerImbalance = TRIGGER_IMBALANCE,
        goalImbalance = GOAL_IMBALANCE,
        maxLoadsPerRank = settings.maxLoadsPerRank,
        maxLoadsPerRankAndLayer = placement.spareSlots.coerceAtLeast(1),
        vacancies = slots,
        maxSearches = MAX_SEARCHES,
        minGain = settings.minGain
    )
    return MapPlanner(settings).plan(
        map = current.padded(slots, placement.expertsPerLayer),
        popularity = demand.popularity.withUnusedExperts(slots),
        speeds = RankSpeeds.ofSlowdowns(allRanks.map { slowRanks[it] ?: 1.0 })
    )
}

/**
 * Imbalance below which a layer is not changed: copies have a cost, and demand changes within
 * seconds.
 */
private const val TRIGGER_IMBALANCE = 1.3

/**
 * Mean imbalance of the layers below which the map is not changed: ranks that copy are 15% slower,
 * and a change in progress delays the change for the next jump of demand.
 */
private const val MIN_MEAN_IMBALANCE = 1.25

/** Imbalance at which the improvement of a layer stops. */
private const val GOAL_IMBALANCE = 1.06

/**
 * Keeps the product from which the planner derives its bound on copies from overflowing, while that
 * bound stays above [PlacementSettings.maxLoadsPerRank].
 */
private const val OVERFLOW_DIVISOR = 1_000_000L

/** Bounds the time of one plan on the entry's only thread to about 24 ms. */
private const val MAX_SEARCHES = 64
