package org.shallotplank.bench

import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.placement.LayerPlacement

/**
 * Computes the placement of a layer regardless of its current one. Each spare slot goes to the
 * expert with the highest load per replica. Then the replicas are assigned, heaviest first, to the
 * least loaded rank that has a free slot and no replica of the same expert.
 */
internal fun greedyPlacement(shares: DoubleArray, ranks: Int, slotsPerRank: Int): LayerPlacement {
    val replicas = replicate(shares, ranks * slotsPerRank, ranks)
    val queue = shares.indices.flatMap { expert -> List(replicas[expert]) { expert } }
        .sortedByDescending { shares[it] / replicas[it] }
    val expertsByRank = List(ranks) { mutableListOf<Int>() }
    val loads = DoubleArray(ranks)
    for (expert in queue) {
        val open = expertsByRank.indices.filter { expertsByRank[it].size < slotsPerRank }
        val rank = open.filter { expert !in expertsByRank[it] }.minByOrNull { loads[it] }
        if (rank == null) {
            exchange(expert, open.first(), expertsByRank)
        } else {
            expertsByRank[rank] += expert
            loads[rank] += shares[expert] / replicas[expert]
        }
    }
    return LayerPlacement(slotsPerRank, expertsByRank.flatten().toPersistentList())
}

private fun replicate(shares: DoubleArray, slots: Int, ranks: Int): IntArray {
    val replicas = IntArray(shares.size) { 1 }
    repeat(slots - shares.size) {
        val expert = shares.indices.filter { replicas[it] < ranks }
            .maxBy { shares[it] / replicas[it] }
        replicas[expert]++
    }
    return replicas
}

/**
 * Places [expert] when all ranks with a free slot already hold it: another rank takes it and moves
 * one of its own experts to [open].
 */
private fun exchange(expert: Int, open: Int, expertsByRank: List<MutableList<Int>>) {
    val other = expertsByRank.first { experts ->
        expert !in experts && experts.any { it !in expertsByRank[open] }
    }
    val moved = other.first { it !in expertsByRank[open] }
    other[other.indexOf(moved)] = expert
    expertsByRank[open] += moved
}
