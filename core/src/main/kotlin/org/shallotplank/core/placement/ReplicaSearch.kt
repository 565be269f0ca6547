package org.shallotplank.core.placement

/**
 * Finds a further replica that reduces the time of the slowest rank of one layer.
 *
 * Evaluates only replicas of that rank's experts on other ranks, whereas [LayerSearch] also
 * evaluates the other kinds of change. This makes planning for a large group fast enough to fit
 * between two requests.
 */
internal class ReplicaSearch(
    private val loads: LayerLoads,
    private val minGain: Double,
    private val isFull: (rank: Int) -> Boolean
) {
    private val slowest = loads.slowestRank()
    private val best = BestChanges(limit = 1, minGain)

    /**
     * Returns the replica with the largest gain, or null if none gains enough.
     *
     * Evaluates the ranks with the shortest times in a first round, and the other ranks only if
     * the first round finds no replica.
     */
    fun candidate(): RankedChange? {
        val open = (0 until loads.ranks)
            .filter { it != slowest && !isFull(it) }
            .sortedBy { loads.time(it) }
        val first = (loads.ranks / FIRST_ROUND_DIVISOR).coerceAtLeast(MIN_FIRST_ROUND_RANKS)
        open.take(first).forEach(::weighReplicasOn)
        if (best.isEmpty()) open.drop(first).forEach(::weighReplicasOn)
        return best.toList().firstOrNull()
    }

    private fun weighReplicasOn(rank: Int) {
        for (slot in loads.slotsOf(rank)) {
            if (!loads.isReplicated(loads.expertIn(slot))) continue
            for (own in loads.slotsOf(slowest)) weigh(slot, loads.expertIn(own))
        }
    }

    private fun weigh(slot: Int, expert: Int) {
        val rank = loads.rankOf(slot)
        val replaced = loads.expertIn(slot)
        if (loads.holds(rank, expert)) return
        val before = loads.penaltyOf(replaced, expert)
        loads.overwrite(slot, expert)
        val gain = before - loads.penaltyOf(replaced, expert)
        if (best.accepts(gain)) {
            val change = LayerChange.Replicate(slot, rank, replaced, expert)
            best.add(RankedChange(change, gain, loads.imbalance()))
        }
        loads.overwrite(slot, replaced)
    }

    private companion object {
        /** Divisor of the number of ranks that gives the size of the first round. */
        const val FIRST_ROUND_DIVISOR = 8

        /** Minimum number of ranks in the first round; for fewer, two rounds are not worthwhile. */
        const val MIN_FIRST_ROUND_RANKS = 8
    }
}
