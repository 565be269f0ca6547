package org.shallotplank.core.placement

/**
 * The placement of one layer with the resulting loads; mutable, and used within one plan only.
 *
 * The load of a rank is the share of the tokens that its experts take. The time of a rank is its
 * load over its speed.
 *
 * @param realExperts number of real experts; experts from this index on are vacancies, which are
 *   placeholders in empty slots.
 */
internal class LayerLoads(
    private val placement: LayerPlacement,
    private val shares: DoubleArray,
    private val speeds: DoubleArray,
    private val realExperts: Int = shares.size
) {
    val slotsPerRank: Int = placement.slotsPerRank
    val ranks: Int = placement.ranks
    val experts: Int = shares.size
    private val expertBySlot = IntArray(placement.expertBySlot.size) { placement.expertBySlot[it] }
    private val replicas = IntArray(experts)
    private val holders = Array(experts) { IntArray(ranks) }
    private val isHeld = BooleanArray(experts * ranks)
    private val loads = DoubleArray(ranks)
    private val idealTime = shares.sum() / speeds.sum()

    init {
        expertBySlot.forEachIndexed { slot, expert -> addHolder(expert, rankOf(slot)) }
        expertBySlot.forEachIndexed { slot, expert -> loads[rankOf(slot)] += loadOf(expert) }
    }

    val slots: IntRange get() = expertBySlot.indices

    fun slotsOf(rank: Int): IntRange = rank * slotsPerRank until (rank + 1) * slotsPerRank

    fun rankOf(slot: Int): Int = slot / slotsPerRank

    fun expertIn(slot: Int): Int = expertBySlot[slot]

    fun isReplicated(expert: Int): Boolean = replicas[expert] > 1 || isVacancy(expert)

    fun isVacancy(expert: Int): Boolean = expert >= realExperts

    /** Returns a vacancy that [rank] does not hold yet, or null if there is none. */
    fun vacancyFor(rank: Int): Int? = (realExperts until experts).firstOrNull { !holds(rank, it) }

    fun holds(rank: Int, expert: Int): Boolean = isHeld[expert * ranks + rank]

    /** Load that [expert] adds to each of its ranks. */
    fun loadOf(expert: Int): Double = shares[expert] / replicas[expert]

    /** Whether the speed of [rank] is below that of the median rank. */
    fun isSlow(rank: Int): Boolean = speeds[rank] < 1.0

    fun time(rank: Int): Double = loads[rank] / speeds[rank]

    fun slowestRank(): Int {
        var slowest = 0
        for (rank in 1 until ranks) if (time(rank) > time(slowest)) slowest = rank
        return slowest
    }

    /** Time of the slowest rank over the ideal time, with loads in proportion to the speeds. */
    fun imbalance(): Double = time(slowestRank()) / idealTime

    /** Time of the slowest of [ranks] over the ideal time of all ranks. */
    fun imbalanceOf(ranks: Collection<Int>): Double = (ranks.maxOfOrNull(::time) ?: 0.0) / idealTime

    /**
     * Penalty of [rank]: the eighth power of its time over the ideal time. The slowest rank counts
     * most, and the next slowest ranks still have an effect.
     */
    fun penalty(rank: Int): Double {
        val relative = time(rank) / idealTime
        val square = relative * relative
        val fourth = square * square
        return fourth * fourth
    }

    fun totalPenalty(): Double {
        var sum = 0.0
        for (rank in 0 until ranks) sum += penalty(rank)
        return sum
    }

    /** Penalty of the ranks that hold [first] or [second], each counted once. */
    fun penaltyOf(first: Int, second: Int): Double {
        var sum = 0.0
        for (index in 0 until replicas[first]) sum += penalty(holders[first][index])
        for (index in 0 until replicas[second]) {
            val rank = holders[second][index]
            if (!holds(rank, first)) sum += penalty(rank)
        }
        return sum
    }

    fun apply(change: LayerChange) {
        when (change) {
            is LayerChange.Replicate -> overwrite(change.slot, change.expert)

            is LayerChange.Vacate -> overwrite(change.slot, change.vacancy)

            is LayerChange.Swap -> swap(change.firstSlot, change.secondSlot)

            is LayerChange.Relocate -> {
                overwrite(change.otherSlot, change.moved)
                overwrite(change.slot, change.expert)
            }
        }
    }

    /** Replaces the expert in [slot] by [expert] and updates the loads. */
    fun overwrite(slot: Int, expert: Int) {
        val rank = rankOf(slot)
        val replaced = expertBySlot[slot]
        addLoad(replaced, sign = -1)
        addLoad(expert, sign = -1)
        removeHolder(replaced, rank)
        addHolder(expert, rank)
        addLoad(replaced, sign = 1)
        addLoad(expert, sign = 1)
        expertBySlot[slot] = expert
    }

    /** Exchanges the experts of two slots of different ranks. */
    fun swap(firstSlot: Int, secondSlot: Int) {
        val first = expertBySlot[firstSlot]
        val second = expertBySlot[secondSlot]
        val firstRank = rankOf(firstSlot)
        val secondRank = rankOf(secondSlot)
        shiftLoad(firstRank, secondRank, loadOf(first) - loadOf(second))
        removeHolder(first, firstRank)
        removeHolder(second, secondRank)
        addHolder(second, firstRank)
        addHolder(first, secondRank)
        expertBySlot[firstSlot] = second
        expertBySlot[secondSlot] = first
    }

    /** Moves [load] without moving an expert, to evaluate the effect on the penalties. */
    fun shiftLoad(from: Int, to: Int, load: Double) {
        loads[from] -= load
        loads[to] += load
    }

    fun toPlacement(): LayerPlacement = placement.withExperts(expertBySlot)

    /** Number of experts that ranks have to load to change from the initial placement to this. */
    fun loadsNeeded(): Int = placement.expertsToLoad(expertBySlot)

    private fun addLoad(expert: Int, sign: Int) {
        if (replicas[expert] == 0) return
        val load = sign * loadOf(expert)
        for (index in 0 until replicas[expert]) loads[holders[expert][index]] += load
    }

    private fun addHolder(expert: Int, rank: Int) {
        holders[expert][replicas[expert]++] = rank
        isHeld[expert * ranks + rank] = true
    }

    private fun removeHolder(expert: Int, rank: Int) {
        val list = holders[expert]
        val last = --replicas[expert]
        var index = 0
        while (list[index] != rank) index++
        list[index] = list[last]
        isHeld[expert * ranks + rank] = false
    }
}
