package org.shallotplank.core.placement

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
        val decay = decayFactor(now, halfLife)
        val counts = countsByLayer.mapIndexed { layer, old ->
            DoubleArray(old.size) { expert -> old[expert] * decay + tokens[layer][expert] }
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
