package org.shallotplank.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of the placement policy of one group. */
public data class PlacementSettings(
    /** Size of one expert's weights in one layer, in bytes. */
    val expertBytes: Long,
    /** Bandwidth that the group may use to read from the weight store. */
    val weightStoreBytesPerSecond: Long,
    /** Time between two decisions. */
    val interval: Duration = 5.seconds,
    /** Half-life of the token counts from which the popularity is computed. */
    val popularityHalfLife: Duration = 5.seconds,
    /** Weight of one window of timings in the moving average of a rank's speed, 0.0 to 1.0. */
    val speedWeight: Double = 0.2,
    /** Imbalance (slowest rank's time over the ideal time) above which a layer is changed. */
    val triggerImbalance: Double = 1.03,
    /** Imbalance at or below which the planner stops changing a layer. */
    val goalImbalance: Double = 1.01,
    /**
     * Smallest gain for which a change is made: decrease of the layer's penalty per expert loaded.
     *
     * The penalty is the sum over the ranks of the eighth power of their time over the ideal time.
     */
    val minGain: Double = 0.02,
    /** Use of the weight store, 0.0 to 1.0, up to which a gain of [minGain] is enough. */
    val freeStoreUse: Double = 0.18,
    /**
     * Increase of the required gain with the use of the store above [freeStoreUse], in multiples
     * of [minGain] per 1.0 of use.
     */
    val storeUsePrice: Double = 300.0,
    /** Weight of one decision in the moving average of the store's use, 0.0 to 1.0. */
    val storeUseWeight: Double = 0.03,
    /** Highest number of experts that one rank loads in one change, over all layers. */
    val maxLoadsPerRank: Int = 8,
    /** Highest number of experts that one rank loads in one change in one layer. */
    val maxLoadsPerRankAndLayer: Int = maxLoadsPerRank,
    /** Number of placeholders for empty slots; these are the last experts of each layer. */
    val vacancies: Int = 0,
    /** Number of ranks from which on the planner tries [ReplicaSearch] first. */
    val replicaSearchRanks: Int = 32,
    /** Highest number of whole-layer searches per plan, about a third of a millisecond each. */
    val maxSearches: Int = Int.MAX_VALUE,
    /** Longest time to wait for the outcome of a proposal. */
    val proposalTimeout: Duration = 90.seconds,
    /** Number of candidates that the explanation of a change lists. */
    val explainedCandidates: Int = 3
) {
    init {
        require(goalImbalance <= triggerImbalance) { "goalImbalance is above triggerImbalance" }
        require(expertBytes > 0) { "expertBytes must be positive" }
    }

    /** Experts that the weight store can deliver between two decisions; at least one swap. */
    public val maxLoadsPerChange: Int
        get() {
            val bytes = weightStoreBytesPerSecond * interval.inWholeMilliseconds / MILLIS_PER_SECOND
            return (bytes / expertBytes).toInt().coerceAtLeast(MIN_LOADS_PER_CHANGE)
        }

    /** Returns the smallest gain for which a change is made at [storeUse] of the weight store. */
    public fun minGainAt(storeUse: Double): Double =
        minGain * (1.0 + storeUsePrice * (storeUse - freeStoreUse).coerceAtLeast(0.0))

    /** Returns the average use of the weight store after a decision to load [expertsLoaded]. */
    internal fun storeUseAfter(storeUse: Double, expertsLoaded: Int): Double {
        val used = expertsLoaded.toDouble() / maxLoadsPerChange
        return storeUse * (1.0 - storeUseWeight) + used * storeUseWeight
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val MIN_LOADS_PER_CHANGE = 2
    }
}
