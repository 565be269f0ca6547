package org.shallotplank.core.expertmap

import kotlin.time.Duration
import org.shallotplank.core.placement.MapPlan

/**
 * Slowdown of each slow rank for which maps are planned.
 *
 * A slowdown varies from report to report. That of the last change applies until the reported one
 * is clearly higher, so that the same slow rank does not cause another change.
 */
internal val GroupKeeper.planningSlowdowns: Map<Int, Double>
    get() = slowRanks.mapValues { (rank, slowdown) ->
        plannedSlowdowns[rank]?.takeIf { slowdown <= it * MAX_SLOWDOWN_VARIATION } ?: slowdown
    }

/** Slow ranks, with those that were planned as slow and are not yet as fast as the others. */
internal val GroupKeeper.ranksPlannedAsSlow: Set<Int>
    get() {
        val recovering = ranksSlowerBy(RECOVERED_SLOWDOWN).keys intersect plannedSlowRanks
        return slowRanks.keys + recovering
    }

/**
 * Whether the demand is not known well enough for a change of the map because of a slow rank.
 *
 * The first estimate of a keeper is from few tokens. That is enough to replace the map with which a
 * group starts, but not to judge a map that the previous keeper planned.
 */
internal val GroupKeeper.isDemandVagueForSlowRanks: Boolean
    get() = slowRanks.isNotEmpty() &&
        !demand.isFirm &&
        reports.values.any {
            it.report.mapVersion > 0
        }

/**
 * Own part of the slowest rank in each iteration, as far as it does not depend on the load; null if
 * no pauses were observed. No map changes it.
 */
internal val GroupKeeper.ownPart: Duration?
    get() = pauses?.let { it.fixed * (slowRanks.values.maxOrNull() ?: 1.0) }

/**
 * Whether [plan] shortens pauses enough for the cost of its copies.
 *
 * Only the part of a pause that is spent in experts becomes shorter. True if the pauses are unknown
 * or no rank is slow; the gain in imbalance then says enough.
 */
internal fun GroupKeeper.shortensPauses(plan: MapPlan): Boolean {
    val perImbalance = pausePerImbalance ?: return true
    val own = ownPart?.takeIf { slowRanks.isNotEmpty() } ?: return true
    val gain = perImbalance * (plan.imbalanceBefore - plan.imbalanceAfter)
    return gain >= (own + perImbalance * plan.imbalanceBefore) * MIN_PAUSE_GAIN
}

/** Reported slowdowns of one cause differ by about a third from each other. */
private const val MAX_SLOWDOWN_VARIATION = 1.5

/** Below the slowdown from which a rank counts as slow, so that reports around it count once. */
private const val RECOVERED_SLOWDOWN = 1.1

/** Share of a pause that a change must gain; ranks that copy are 15% slower meanwhile. */
private const val MIN_PAUSE_GAIN = 0.05
