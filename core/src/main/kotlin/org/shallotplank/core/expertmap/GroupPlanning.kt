package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.placement.MapPlan
import org.shallotplank.core.placement.MapPlanner
import org.shallotplank.core.placement.PlacementSettings
import org.shallotplank.core.placement.RankRelief
import org.shallotplank.core.placement.RankSpeeds
import org.shallotplank.core.then

/**
 * Searches for a better map and starts the change to it, if there is one.
 *
 * Makes no change while streams are on time with a margin in spite of the imbalance, since copies
 * have a cost and a change holds the group for a moment.
 */
internal fun GroupKeeper.plan(now: Instant): GroupKeeperStep {
    val current = map ?: return Step(this)
    val attempted =
        copy(plannedAt = now, plannedJumps = demand.jumps, plannedSlowRanks = ranksPlannedAsSlow)
    if (!demand.isSettled || isDemandVagueForSlowRanks) return Step(attempted)
    val search = MapSearch(attempted, current)
    val observed = attempted.copy(pausePerImbalance = observedPausePerImbalance(search.imbalance))
    val plan = observed.planFrom(search) ?: return Step(observed)
    val version = nextVersion()
    val next = GroupMap.of(plan.map, placement.expertsPerLayer)
    val record = logRecord(
        LogEvent.GROUP_MAP_PLANNED,
        "group" to group,
        "epoch" to epoch,
        "version" to version,
        "experts_loaded" to plan.expertsLoaded,
        "slowness_before" to "%.3f".format(plan.imbalanceBefore),
        "slowness_after" to "%.3f".format(plan.imbalanceAfter),
        "slow_ranks" to search.slowdowns.keys.joinToString(","),
        "own_part_ms" to ownPart?.inWholeMilliseconds
    )
    val planned = observed.copy(lastVersion = version, plannedSlowdowns = search.slowdowns)
    return Step(planned, effects(GroupKeeperEffect.Log(record)))
        .then { it.enter(KeeperStage.Preparing(version, next, now, now + it.copyTime(next)), now) }
}

/** The map to change to, null if none is worth a change. */
private fun GroupKeeper.planFrom(search: MapSearch): MapPlan? {
    val calmImbalance = calmImbalance
    if (calmImbalance != null && search.imbalance <= calmImbalance) return null
    val plan = if (search.slowdowns.isEmpty()) search.plan() else search.planWithSlowRanks()
    return plan?.takeIf { it.imbalanceBefore >= MIN_MEAN_IMBALANCE && shortensPauses(it) }
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

/** Imbalance up to which streams are on time with a margin, null if it is unknown. */
private val GroupKeeper.calmImbalance: Double?
    get() {
        val own = ownPart ?: return null
        return pausePerImbalance?.let { pauses?.copy(fixed = own)?.calmImbalance(it) }
    }

/**
 * The highest of the recent observations, so that a short lull of the load does not count.
 *
 * While a rank is slow, pauses contain its own part, which no map changes.
 */
private fun GroupKeeper.observedPausePerImbalance(imbalance: Double): Duration? {
    val before = pausePerImbalance
    if (isPlanOutdated || slowRanks.isNotEmpty()) return before
    val observed = pauses?.perImbalance(imbalance) ?: return before
    return maxOf(observed, (before ?: Duration.ZERO) * KEPT_PAUSE_SHARE)
}

/** Search for a better map than [current] under the present demand of [keeper]. */
private class MapSearch(keeper: GroupKeeper, current: GroupMap) {
    private val slots = keeper.placement.slotsPerRank
    private val map = current.padded(slots, keeper.placement.expertsPerLayer)
    private val popularity = keeper.demand.popularity.withUnusedExperts(slots)

    /** Slowdown of each slow rank. */
    val slowdowns: Map<Int, Double> = keeper.planningSlowdowns
    private val healthyRanks = keeper.allRanks.filter { it !in slowdowns }
    private val hasSpareSlots = keeper.placement.spareSlots > 0
    private val speeds = RankSpeeds.ofSlowdowns(keeper.allRanks.map { slowdowns[it] ?: 1.0 })
    private val settings = PlacementSettings(
        expertBytes = 1,
        weightStoreBytesPerSecond = Long.MAX_VALUE / OVERFLOW_DIVISOR,
        triggerImbalance = TRIGGER_IMBALANCE,
        goalImbalance = GOAL_IMBALANCE,
        maxLoadsPerRank = keeper.settings.maxLoadsPerRank,
        maxLoadsPerRankAndLayer = keeper.placement.spareSlots.coerceAtLeast(1),
        vacancies = slots,
        maxSearches = MAX_SEARCHES,
        minGain = keeper.settings.minGain
    )

    private val planner = MapPlanner(settings)

    val imbalance: Double = planner.imbalance(map, popularity, speeds)

    fun plan(): MapPlan? = planner.plan(map, popularity, speeds)

    /**
     * Plans only copies of what leaves the slow ranks, unless the map does not fit the demand.
     *
     * A map that already holds little on the slow ranks is not changed again because of them.
     */
    fun planWithSlowRanks(): MapPlan? {
        val ofHealthy = planner.imbalanceOf(healthyRanks, map, popularity, speeds)
        if (ofHealthy >= MIN_MEAN_IMBALANCE) return plan()
        val ofSlow = planner.imbalanceOf(slowdowns.keys, map, popularity, speeds)
        if (ofSlow < MIN_MEAN_IMBALANCE) return null
        // Without spare slots, a rank that takes an expert has to give one in exchange.
        val relief = RankRelief(slowdowns.keys, mayLoad = !hasSpareSlots)
        return planner.plan(map, popularity, speeds, relief = relief)
    }
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

/** Part of the highest pause per imbalance that is kept from one plan to the next. */
private const val KEPT_PAUSE_SHARE = 0.95
