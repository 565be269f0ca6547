package org.shallotplank.core.placement

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** A map with less imbalance than the current one, with the changes that lead to it. */
public data class MapPlan(
    val map: ExpertMap,
    /** Number of experts that ranks have to load for the map. */
    val expertsLoaded: Int,
    /** Imbalance before the plan: slowest rank's time over the ideal time, mean of the layers. */
    val imbalanceBefore: Double,
    /** Imbalance after the plan. */
    val imbalanceAfter: Double,
    val changes: PersistentList<ExplainedChange> = persistentListOf()
)

/** One change of a plan with the [candidates] that were evaluated, the chosen one first. */
public data class ExplainedChange(
    val layer: Int,
    val slowestRank: Int,
    val imbalance: Double,
    val candidates: PersistentList<RankedChange>
)

/**
 * Improves an expert map by a greedy local search.
 *
 * Each iteration takes the layer with the highest imbalance. To relieve the slowest rank of that
 * layer, it applies the change with the highest gain per expert loaded. The search ends when no
 * layer is left to improve or when the load budget of one change of the map is spent. It never
 * removes the last replica of an expert and never puts two replicas of an expert on one rank.
 */
public class MapPlanner(private val settings: PlacementSettings) {
    /**
     * Returns a plan for [map], or null when no change gains more than [minGain].
     *
     * @param relief restricts the plan to changes that relieve certain ranks; null for no
     *   restriction.
     */
    public fun plan(
        map: ExpertMap,
        popularity: ExpertPopularity,
        speeds: RankSpeeds,
        minGain: Double = settings.minGain,
        relief: RankRelief? = null
    ): MapPlan? {
        val layers = loadsOf(map, popularity, speeds)
        val before = layers.meanImbalance()
        val budget = LoadBudget(settings, speeds.size, layers.size, relief)
        val changes = improve(layers, budget, minGain)
        if (changes.isEmpty()) return null
        return MapPlan(
            map = ExpertMap(layers.map { it.toPlacement() }.toPersistentList()),
            expertsLoaded = layers.sumOf { it.loadsNeeded() },
            imbalanceBefore = before,
            imbalanceAfter = layers.meanImbalance(),
            changes = changes.toPersistentList()
        )
    }

    /** Returns slowest rank's time over the ideal time under [map], mean of the layers. */
    public fun imbalance(map: ExpertMap, popularity: ExpertPopularity, speeds: RankSpeeds): Double =
        loadsOf(map, popularity, speeds).meanImbalance()

    /** Returns time of the slowest of [ranks] over the ideal time, mean of the layers. */
    public fun imbalanceOf(
        ranks: Collection<Int>,
        map: ExpertMap,
        popularity: ExpertPopularity,
        speeds: RankSpeeds
    ): Double = loadsOf(map, popularity, speeds).let { layers ->
        layers.sumOf { it.imbalanceOf(ranks) } / layers.size
    }

    private fun loadsOf(
        map: ExpertMap,
        popularity: ExpertPopularity,
        speeds: RankSpeeds
    ): List<LayerLoads> {
        val speedByRank = speeds.toArray()
        return map.layers.mapIndexed { layer, placement ->
            val shares = popularity.shares(layer)
            LayerLoads(placement, shares, speedByRank, shares.size - settings.vacancies)
        }
    }

    private fun List<LayerLoads>.meanImbalance(): Double = sumOf { it.imbalance() } / size

    private fun improve(
        layers: List<LayerLoads>,
        budget: LoadBudget,
        minGain: Double
    ): List<ExplainedChange> {
        val changes = mutableListOf<ExplainedChange>()
        val imbalance = DoubleArray(layers.size) { layers[it].imbalance() }
        val open = layers.indices.filterTo(mutableSetOf()) {
            imbalance[it] > settings.triggerImbalance && budget.isToRelieve(layers[it])
        }
        var searchesLeft = settings.maxSearches
        while (open.isNotEmpty() && !budget.isSpent) {
            val layer = open.maxBy { imbalance[it] }
            val change = addReplica(layer, layers[layer], budget, minGain)
                ?: if (searchesLeft-- > 0) improve(layer, layers[layer], budget, minGain) else null
            if (change != null) changes += change
            imbalance[layer] = layers[layer].imbalance()
            val isBalanced = imbalance[layer] <= settings.goalImbalance
            if (change == null || isBalanced || !budget.isToRelieve(layers[layer])) open -= layer
        }
        return changes
    }

    private fun addReplica(
        layer: Int,
        loads: LayerLoads,
        budget: LoadBudget,
        minGain: Double
    ): ExplainedChange? {
        if (loads.ranks < settings.replicaSearchRanks) return null
        val slowest = loads.slowestRank()
        val imbalance = loads.imbalance()
        val chosen = ReplicaSearch(loads, minGain) { budget.isFull(layer, it) }.candidate()
            ?.takeIf { budget.affords(it.change) }
            ?: return null
        loads.apply(chosen.change)
        budget.spend(layer, chosen.change)
        return ExplainedChange(layer, slowest, imbalance, persistentListOf(chosen))
    }

    private fun improve(
        layer: Int,
        loads: LayerLoads,
        budget: LoadBudget,
        minGain: Double
    ): ExplainedChange? {
        val slowest = loads.slowestRank()
        val imbalance = loads.imbalance()
        val candidates = LayerSearch(
            loads = loads,
            limit = settings.explainedCandidates,
            minGain = minGain,
            mayRelocate = budget.relief == null,
            isFull = { budget.isFull(layer, it) }
        ).candidates()
        val chosen = candidates.firstOrNull { budget.affords(it.change) } ?: return null
        loads.apply(chosen.change)
        budget.spend(layer, chosen.change)
        val others = candidates.filter { it !== chosen }
        return ExplainedChange(
            layer = layer,
            slowestRank = slowest,
            imbalance = imbalance,
            candidates = (listOf(chosen) + others).toPersistentList()
        )
    }
}

/**
 * Restricts a plan to changes that take load off [ranks].
 *
 * @property mayLoad whether these ranks may load other experts in exchange.
 */
public data class RankRelief(val ranks: Set<Int>, val mayLoad: Boolean = false) {
    internal fun forbidsLoadsOn(rank: Int): Boolean = !mayLoad && rank in ranks
}

/** Expert loads left for one change of the map: in total, per rank, and per rank and layer. */
private class LoadBudget(
    private val settings: PlacementSettings,
    ranks: Int,
    layers: Int,
    val relief: RankRelief?
) {
    private var left = settings.maxLoadsPerChange
    private val loadsByRank = IntArray(ranks)
    private val loadsByLayer = Array(layers) { IntArray(ranks) }

    val isSpent: Boolean get() = left <= 0

    /** Whether the slowest rank of [loads] is one that the plan may relieve. */
    fun isToRelieve(loads: LayerLoads): Boolean =
        relief == null || loads.slowestRank() in relief.ranks

    fun isFull(layer: Int, rank: Int): Boolean = relief?.forbidsLoadsOn(rank) == true ||
        loadsByRank[rank] >= settings.maxLoadsPerRank ||
        loadsByLayer[layer][rank] >= settings.maxLoadsPerRankAndLayer

    fun affords(change: LayerChange): Boolean = change.expertsLoaded <= left

    fun spend(layer: Int, change: LayerChange) {
        left -= change.expertsLoaded
        change.loadingRanks.forEach {
            loadsByRank[it]++
            loadsByLayer[layer][it]++
        }
    }
}
