package org.shallotplank.core.placement

/**
 * Searches one layer for changes that reduce the time of its slowest rank.
 *
 * Skips changes that load an expert on a rank for which [isFull] returns true.
 */
internal class LayerSearch(
    private val loads: LayerLoads,
    private val limit: Int,
    private val minGain: Double,
    private val mayRelocate: Boolean = true,
    private val isFull: (rank: Int) -> Boolean
) {
    private val slowest = loads.slowestRank()
    private val ownSlots = loads.slotsOf(slowest)
    private val best = BestChanges(limit, minGain)

    /**
     * Returns the changes with the largest gain, which is above [minGain], at most [limit].
     *
     * Evaluates relocations only when no simpler change helps, because there are many of them.
     */
    fun candidates(): List<RankedChange> {
        for (slot in loads.slots) offerChanges(slot)
        if (best.isEmpty() && mayRelocate) offerRelocations()
        return best.toList()
    }

    private fun offerChanges(slot: Int) {
        val rank = loads.rankOf(slot)
        if (rank == slowest && loads.isSlow(rank)) offerVacate(slot)
        if (isFull(rank)) return
        if (rank == slowest) {
            for (expert in 0 until loads.experts) offerReplicate(slot, expert)
            return
        }
        for (own in ownSlots) offerReplicate(slot, loads.expertIn(own))
        if (isFull(slowest)) return
        for (own in ownSlots) offerSwap(own, slot)
    }

    private fun offerVacate(slot: Int) {
        val rank = loads.rankOf(slot)
        val replaced = loads.expertIn(slot)
        if (loads.isVacancy(replaced) || !loads.isReplicated(replaced)) return
        val vacancy = loads.vacancyFor(rank) ?: return
        val before = loads.penaltyOf(replaced, vacancy)
        loads.overwrite(slot, vacancy)
        offer(before - loads.penaltyOf(replaced, vacancy)) {
            LayerChange.Vacate(slot, rank, replaced, vacancy)
        }
        loads.overwrite(slot, replaced)
    }

    private fun offerReplicate(slot: Int, expert: Int) {
        val rank = loads.rankOf(slot)
        val replaced = loads.expertIn(slot)
        if (!loads.isReplicated(replaced) || loads.holds(rank, expert)) return
        val before = loads.penaltyOf(replaced, expert)
        loads.overwrite(slot, expert)
        offer(before - loads.penaltyOf(replaced, expert)) {
            LayerChange.Replicate(slot, rank, replaced, expert)
        }
        loads.overwrite(slot, replaced)
    }

    private fun offerSwap(firstSlot: Int, secondSlot: Int) {
        val first = loads.expertIn(firstSlot)
        val second = loads.expertIn(secondSlot)
        val firstRank = loads.rankOf(firstSlot)
        val secondRank = loads.rankOf(secondSlot)
        if (loads.holds(secondRank, first) || loads.holds(firstRank, second)) return
        val moved = loads.loadOf(first) - loads.loadOf(second)
        val before = loads.penalty(firstRank) + loads.penalty(secondRank)
        loads.shiftLoad(firstRank, secondRank, moved)
        val gain = before - loads.penalty(firstRank) - loads.penalty(secondRank)
        offer(gain / LOADS_PER_EXCHANGE) {
            LayerChange.Swap(firstSlot, firstRank, first, secondSlot, secondRank, second)
        }
        loads.shiftLoad(secondRank, firstRank, moved)
    }

    private fun offerRelocations() {
        val fastest = (0 until loads.ranks)
            .filter { it != slowest && !isFull(it) }
            .sortedBy { loads.time(it) }
            .take(RELOCATION_RANKS)
        for (rank in fastest) {
            for (other in loads.slots) offerRelocations(rank, other)
        }
    }

    private fun offerRelocations(rank: Int, otherSlot: Int) {
        val otherRank = loads.rankOf(otherSlot)
        val isUsable = otherRank != rank &&
            !isFull(otherRank) &&
            loads.isReplicated(loads.expertIn(otherSlot))
        if (!isUsable) return
        for (slot in loads.slotsOf(rank)) {
            val moved = loads.expertIn(slot)
            if (loads.isReplicated(moved) || loads.holds(otherRank, moved)) continue
            offerRelocations(slot, otherSlot, moved)
        }
    }

    private fun offerRelocations(slot: Int, otherSlot: Int, moved: Int) {
        val rank = loads.rankOf(slot)
        val replaced = loads.expertIn(otherSlot)
        for (own in ownSlots) {
            val expert = loads.expertIn(own)
            if (own == otherSlot || loads.holds(rank, expert)) continue
            val before = loads.totalPenalty()
            loads.overwrite(otherSlot, moved)
            loads.overwrite(slot, expert)
            offer((before - loads.totalPenalty()) / LOADS_PER_EXCHANGE) {
                val otherRank = loads.rankOf(otherSlot)
                LayerChange.Relocate(slot, rank, expert, moved, otherSlot, otherRank, replaced)
            }
            loads.overwrite(slot, moved)
            loads.overwrite(otherSlot, replaced)
        }
    }

    /** Adds the change that is currently applied to [loads] if it is among the best. */
    private inline fun offer(gain: Double, change: () -> LayerChange) {
        if (best.accepts(gain)) best.add(RankedChange(change(), gain, loads.imbalance()))
    }

    private companion object {
        const val LOADS_PER_EXCHANGE = 2
        const val RELOCATION_RANKS = 3
    }
}
