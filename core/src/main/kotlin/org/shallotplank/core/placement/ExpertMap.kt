package org.shallotplank.core.placement

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.config.SerializableList

/** Which rank of a group holds which experts, for each layer. */
@Serializable
public data class ExpertMap(val layers: SerializableList<LayerPlacement>) {
    public companion object {
        /**
         * Returns the map that a group starts with.
         *
         * Experts are assigned to the ranks round-robin, and spare slots get further replicas in
         * the same order. No rank holds two replicas of an expert.
         */
        public fun initial(shape: RankGroupShape): ExpertMap {
            val slotCount = shape.ranks * shape.slotsPerRank
            require(slotCount >= shape.expertsPerLayer) { "fewer slots than experts" }
            require(shape.slotsPerRank <= shape.expertsPerLayer) { "slots per rank exceed experts" }
            val layer = LayerPlacement(
                slotsPerRank = shape.slotsPerRank,
                expertBySlot = initialSlots(shape).toPersistentList()
            )
            return ExpertMap(List(shape.layers) { layer }.toPersistentList())
        }

        private fun initialSlots(shape: RankGroupShape): List<Int> {
            val expertsByRank = List(shape.ranks) { mutableListOf<Int>() }
            var next = 0
            for (index in 0 until shape.ranks * shape.slotsPerRank) {
                val experts = expertsByRank[index % shape.ranks]
                while (next in experts) next = (next + 1) % shape.expertsPerLayer
                experts += next
                next = (next + 1) % shape.expertsPerLayer
            }
            return expertsByRank.flatten()
        }
    }
}

/**
 * The experts of one layer by slot.
 *
 * Rank r owns the slots from `r * slotsPerRank` on. An expert that is in several slots has
 * that many replicas, and each of them takes the same share of its tokens.
 */
@Serializable
public data class LayerPlacement(val slotsPerRank: Int, val expertBySlot: SerializableList<Int>) {
    /** Number of ranks that the layer is spread over. */
    val ranks: Int get() = expertBySlot.size / slotsPerRank

    /** Returns the load of each rank when the experts take [shares] of the tokens. */
    public fun rankLoads(shares: DoubleArray): DoubleArray {
        val replicas = IntArray(shares.size)
        expertBySlot.forEach { replicas[it]++ }
        val loads = DoubleArray(ranks)
        expertBySlot.forEachIndexed { slot, expert ->
            loads[slot / slotsPerRank] += shares[expert] / replicas[expert]
        }
        return loads
    }

    /** Number of experts that ranks have to load to change from this placement to [other]. */
    public fun expertsToLoad(other: LayerPlacement): Int =
        expertsToLoad(other.expertBySlot.toIntArray())

    internal fun expertsToLoad(otherExpertBySlot: IntArray): Int =
        (0 until ranks).sumOf { expertsToLoad(it, otherExpertBySlot) }

    internal fun expertsToLoad(rank: Int, otherExpertBySlot: IntArray): Int {
        val slots = rank * slotsPerRank until (rank + 1) * slotsPerRank
        return slots.count { slot -> slots.none { expertBySlot[it] == otherExpertBySlot[slot] } }
    }

    internal fun withExperts(experts: IntArray): LayerPlacement =
        copy(expertBySlot = experts.asList().toPersistentList())
}

/** A map with the version by which the engines identify it. */
@Serializable
public data class VersionedMap(val version: MapVersion, val map: ExpertMap)
