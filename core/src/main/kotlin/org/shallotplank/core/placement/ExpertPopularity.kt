package org.shallotplank.core.placement

import kotlin.math.abs
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Share of the tokens that each expert of each layer takes, from counts that decay over time.
 *
 * Immutable. A count loses half of its weight every half-life, so that the shares follow a drift
 * and noise averages out.
 */
public class ExpertPopularity private constructor(
    private val countsByLayer: List<DoubleArray>,
    private val updatedAt: Instant?
) {
    /** Number of layers that are tracked. */
    public val layers: Int get() = countsByLayer.size

    /** Whether any token was counted. */
    public val isKnown: Boolean get() = updatedAt != null

    /**
     * Adds the [tokens] that were routed since the last call, for each layer and expert, after the
     * earlier counts have decayed until [now].
     *
     * Counts of another shape than the tracker's are ignored.
     */
    public fun plus(tokens: List<IntArray>, now: Instant, halfLife: Duration): ExpertPopularity {
        if (!hasShapeOf(tokens)) return this
        val counts = tokens.map { layer -> DoubleArray(layer.size) { layer[it].toDouble() } }
        return plus(ExpertPopularity(counts, now), halfLife)
    }

    /** Adds the [tokens] to counts that do not decay. */
    internal fun plus(tokens: List<IntArray>, now: Instant): ExpertPopularity =
        plus(tokens, now, Duration.INFINITE)

    /** Adds the counts of [later], after the earlier ones have decayed until then. */
    internal fun plus(later: ExpertPopularity, halfLife: Duration): ExpertPopularity {
        val now = later.updatedAt ?: return this
        val decay = decayFactor(now, halfLife)
        val counts = countsByLayer.zip(later.countsByLayer) { old, new ->
            DoubleArray(old.size) { expert -> old[expert] * decay + new[expert] }
        }
        return ExpertPopularity(counts, now)
    }

    private fun hasShapeOf(tokens: List<IntArray>): Boolean = tokens.size == countsByLayer.size &&
        tokens.indices.all { tokens[it].size == countsByLayer[it].size }

    private fun decayFactor(now: Instant, halfLife: Duration): Double {
        val elapsed = updatedAt?.let { now - it } ?: return 1.0
        return 0.5.pow(elapsed.coerceAtLeast(Duration.ZERO) / halfLife)
    }

    /** The shares of the experts of [layer], which add up to 1; equal when nothing is known. */
    public fun shares(layer: Int): DoubleArray {
        val counts = countsByLayer[layer]
        val total = counts.sum()
        if (total <= 0.0) return DoubleArray(counts.size) { 1.0 / counts.size }
        return DoubleArray(counts.size) { counts[it] / total }
    }

    /** Mean count of an expert of a layer. */
    internal val tokensPerExpert: Double
        get() = countsByLayer.sumOf { it.sum() } / countsByLayer.sumOf { it.size }

    /** Part of the tokens, 0.0 to 1.0, that [other] has at other experts; mean of the layers. */
    internal fun distanceTo(other: ExpertPopularity): Double =
        countsByLayer.indices.sumOf { layer ->
            val own = shares(layer)
            val others = other.shares(layer)
            own.indices.sumOf { abs(own[it] - others[it]) } / 2
        } / layers

    /** A tracker of the same shape that has counted nothing. */
    internal fun cleared(): ExpertPopularity =
        ExpertPopularity(countsByLayer.map { DoubleArray(it.size) }, updatedAt = null)

    /** The same counts with [count] further experts in each layer that no token was routed to. */
    internal fun withUnusedExperts(count: Int): ExpertPopularity = ExpertPopularity(
        countsByLayer.map { it.copyOf(it.size + count) },
        updatedAt
    )

    public companion object {
        /** A tracker that has counted nothing yet. */
        public fun unknown(layers: Int, expertsPerLayer: Int): ExpertPopularity =
            ExpertPopularity(List(layers) { DoubleArray(expertsPerLayer) }, updatedAt = null)
    }
}
