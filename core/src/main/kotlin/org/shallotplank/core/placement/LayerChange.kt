package org.shallotplank.core.placement

/** One change to the placement of a layer. */
public sealed interface LayerChange {
    /** Number of experts that ranks have to load for the change. */
    public val expertsLoaded: Int

    /** Replaces a replica of [replaced] on [rank] by a further replica of [expert]. */
    public data class Replicate(val slot: Int, val rank: Int, val replaced: Int, val expert: Int) :
        LayerChange {
        override val expertsLoaded: Int get() = 1

        override fun toString(): String = "rank $rank: expert $expert for a replica of $replaced"
    }

    /** Empties [slot] of its replica of [replaced]; [vacancy] is the placeholder left there. */
    public data class Vacate(val slot: Int, val rank: Int, val replaced: Int, val vacancy: Int) :
        LayerChange {
        override val expertsLoaded: Int get() = 0

        override fun toString(): String = "rank $rank: without its replica of $replaced"
    }

    /**
     * Puts a further replica of [expert] into the slot of [moved]. As [moved] has only that
     * replica, it moves to [otherRank], where it replaces a replica of [replaced].
     */
    public data class Relocate(
        val slot: Int,
        val rank: Int,
        val expert: Int,
        val moved: Int,
        val otherSlot: Int,
        val otherRank: Int,
        val replaced: Int
    ) : LayerChange {
        override val expertsLoaded: Int get() = 2

        override fun toString(): String =
            "rank $rank: expert $expert for $moved, which goes to rank $otherRank for $replaced"
    }

    /** Exchanges the experts of two slots. */
    public data class Swap(
        val firstSlot: Int,
        val firstRank: Int,
        val firstExpert: Int,
        val secondSlot: Int,
        val secondRank: Int,
        val secondExpert: Int
    ) : LayerChange {
        override val expertsLoaded: Int get() = 2

        override fun toString(): String =
            "swap expert $firstExpert (rank $firstRank) and expert $secondExpert (rank $secondRank)"
    }
}

/** Ranks that load an expert for the change, one expert each. */
internal val LayerChange.loadingRanks: List<Int>
    get() = when (this) {
        is LayerChange.Replicate -> listOf(rank)
        is LayerChange.Vacate -> emptyList()
        is LayerChange.Relocate -> listOf(rank, otherRank)
        is LayerChange.Swap -> listOf(firstRank, secondRank)
    }

/**
 * A change that the planner evaluated.
 *
 * [gain] is the decrease of the layer's penalty per expert loaded. [imbalance] is the slowest
 * rank's time after the change over the ideal time.
 */
public data class RankedChange(val change: LayerChange, val gain: Double, val imbalance: Double)

/** The best changes with more than [minGain] seen so far, best first, at most [limit]. */
internal class BestChanges(private val limit: Int, private val minGain: Double) {
    private val ranked = ArrayList<RankedChange>(limit + 1)

    fun accepts(gain: Double): Boolean =
        gain > minGain && (ranked.size < limit || gain > ranked.last().gain)

    fun isEmpty(): Boolean = ranked.isEmpty()

    fun add(change: RankedChange) {
        val position = ranked.indexOfFirst { it.gain < change.gain }
        ranked.add(if (position < 0) ranked.size else position, change)
        if (ranked.size > limit) ranked.removeAt(ranked.lastIndex)
    }

    fun toList(): List<RankedChange> = ranked
}
