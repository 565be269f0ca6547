package org.shallotplank.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings of the placement policy of one group. */
public data class PlacementSettings(
    /** Size of one expert's weights in one layer. */
    val expertBytes: Long,
    /** What the group may draw from the weight store. */
    val weightStoreBytesPerSecond: Long,
    /** Time between two decisions. */
    val interval: Duration = 5.seconds,
    /** Time after which a token counts half for the popularity. */
    val popularityHalfLife: Duration = 5.seconds,
    /** How much one window of timings counts for the speed of a rank, 0.0 to 1.0. */
    val speedWeight: Double = 0.2,
    /** Slowest rank's time over the ideal one above which a layer is changed. */
    val triggerImbalance: Double = 1.03,
    /** Slowest rank's time over the ideal one below which a layer is left alone again. */
    val goalImbalance: Double = 1.01,
    /**
     * Drop of a layer's penalty per expert loaded below which a change does not pay.
     *
     * The penalty is the sum over the ranks of the eighth power of their time over the ideal one.
     */
    val minGain: Double = 0.02,
    /** Share of what the weight store can deliver that may be used at [minGain], 0.0 to 1.0. */
    val freeStoreUse: Double = 0.18,
    /** How many times [minGain] a change has to gain more when all of the store is used. */
    val storeUsePrice: Double = 300.0,
    /** How much one decision counts for the use of the store, 0.0 to 1.0. */
    val storeUseWeight: Double = 0.03,
    /** Experts that one rank may load in one change, over all layers. */
    val maxLoadsPerRank: Int = 8,
    /** Experts that one rank may load in one change in one layer. */
    val maxLoadsPerRankAndLayer: Int = maxLoadsPerRank,
    /** Experts, the last of each layer, that stand for empty places. */
    val vacancies: Int = 0,
    /** Ranks from which on further replicas are looked for by [ReplicaSearch] first. */
    val replicaSearchRanks: Int = 32,
    /** Searches of a whole layer for one plan; each costs about a third of a millisecond. */
    val maxSearches: Int = Int.MAX_VALUE,
    /** Longest wait for the outcome of a proposal. */
    val proposalTimeout: Duration = 90.seconds,
    /** Changes that an explanation names per decision. */
    val explainedCandidates: Int = 3
) {
    init {
        require(goalImbalance <= triggerImbalance) { "the goal lies above the trigger" }
        require(expertBytes > 0) { "experts have a size" }
    }

    /** Experts that the weight store can deliver between two decisions; at least one swap. */
    public val maxLoadsPerChange: Int
        get() {
            val bytes = weightStoreBytesPerSecond * interval.inWholeMilliseconds / MILLIS_PER_SECOND
            return (bytes / expertBytes).toInt().coerceAtLeast(MIN_LOADS_PER_CHANGE)
        }

    /** The gain below which a change does not pay while [storeUse] of the weight store is used. */
    public fun minGainAt(storeUse: Double): Double =
        minGain * (1.0 + storeUsePrice * (storeUse - freeStoreUse).coerceAtLeast(0.0))

    /** The use of the weight store after a decision to load [expertsLoaded]. */
    internal fun storeUseAfter(storeUse: Double, expertsLoaded: Int): Double {
        val used = expertsLoaded.toDouble() / maxLoadsPerChange
        return storeUse * (1.0 - storeUseWeight) + used * storeUseWeight
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val MIN_LOADS_PER_CHANGE = 2
    }
}
