package org.shallotplank.core.expertmap

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.LayerPlacement

/**
 * Which ranks of a group hold which experts: for each layer and rank, the experts in order.
 *
 * Unlike an [ExpertMap], it may leave slots of a rank empty.
 */
public data class GroupMap(val layers: PersistentList<PersistentList<PersistentList<Int>>>) {
    /** Whether it has [layers] layers over [ranks] ranks and each expert is on a rank. */
    internal fun isComplete(layers: Int, ranks: Int, experts: Int): Boolean =
        this.layers.size == layers &&
            this.layers.all { layer ->
                layer.size == ranks && layer.flatten().toSet().size == experts
            }

    /**
     * The map with its empty slots filled by placeholders, as the planner requires.
     *
     * Placeholders have numbers above those of the real experts, are on many ranks and carry no
     * load, so that the planner can replace them by replicas.
     */
    internal fun padded(slotsPerRank: Int, experts: Int): ExpertMap = ExpertMap(
        layers.map { layer ->
            val slots = layer.flatMap { held ->
                val empty = slotsPerRank - held.size
                held + List(empty) { experts + it }
            }
            LayerPlacement(slotsPerRank, slots.toPersistentList())
        }.toPersistentList()
    )

    internal companion object {
        /** The map with which a group starts: experts assigned to the ranks in turn. */
        fun initial(layers: Int, ranks: Int, experts: Int): GroupMap {
            val layer = List(ranks) { rank ->
                (rank until experts step ranks).toPersistentList()
            }.toPersistentList()
            return GroupMap(List(layers) { layer }.toPersistentList())
        }

        /** Removes the placeholders that [padded] added. */
        fun of(map: ExpertMap, experts: Int): GroupMap = GroupMap(
            map.layers.map { layer ->
                layer.expertBySlot.chunked(layer.slotsPerRank)
                    .map { rank -> rank.filter { it < experts }.toPersistentList() }
                    .toPersistentList()
            }.toPersistentList()
        )
    }
}
