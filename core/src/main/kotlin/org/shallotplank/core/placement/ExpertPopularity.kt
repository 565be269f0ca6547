package org.shallotplank.core.placement

import kotlin.math.abs
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Share of each expert in the tokens of its layer, from counts that decay over time.
 *
 * Immutable. A count loses half of its weight every half-life, so that the shares follow changes
 * in the traffic and noise averages out.
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
     * Decays the earlier counts until [now] and adds the [tokens] that were routed since the last
     * call, by layer and expert.
     *
     * Tokens are ignored if their numbers of layers or experts differ from those of this tracker.
     */
    public fun plus(tokens: List<IntArray>, now: Instant, halfLife: Duration): ExpertPopularity {
        if (!hasShapeOf(tokens)) return this
        val counts = tokens.map { layer -> DoubleArray(layer.size) { layer[it].toDouble() } }
        return plus(ExpertPopularity(counts, now), halfLife)
    }

    /** Adds the [tokens] without decay of the earlier counts. */
    internal fun plus(tokens: List<IntArray>, now: Instant): ExpertPopularity =
        plus(tokens, now, Duration.INFINITE)

    /** Decays the counts until the time of [later] and adds the counts of [later]. */
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

    /** Returns the experts' shares in [layer], with sum 1; equal when nothing was counted. */
    public fun shares(layer: Int): DoubleArray {
        val counts = countsByLayer[layer]
        val total = counts.sum()
        if (total <= 0.0) return DoubleArray(counts.size) { 1.0 / counts.size }
        return DoubleArray(counts.size) { counts[it] / total }
    }

    /** Mean token count per expert of a layer. */
    internal val tokensPerExpert: Double
        get() = countsByLayer.sumOf { it.sum() } / countsByLayer.sumOf { it.size }

    /** Total variation distance of the shares to [other], 0.0 to 1.0; mean over the layers. */
    internal fun distanceTo(other: ExpertPopularity): Double =
        countsByLayer.indices.sumOf { layer ->
            val own = shares(layer)
            val others = other.shares(layer)
            own.indices.sumOf { abs(own[it] - others[it]) } / 2
        } / layers

    /** Returns an empty tracker for the same numbers of layers and experts. */
    internal fun cleared(): ExpertPopularity =
        ExpertPopularity(countsByLayer.map { DoubleArray(it.size) }, updatedAt = null)

    /** Returns the same counts with [count] further experts per layer, which have no tokens. */
    internal fun withUnusedExperts(count: Int): ExpertPopularity = ExpertPopularity(
        countsByLayer.map { it.copyOf(it.size + count) },
        updatedAt
    )

    public companion object {
        /** Returns a tracker without counts. */
        public fun unknown(layers: Int, expertsPerLayer: Int): ExpertPopularity =
            ExpertPopularity(List(layers) { DoubleArray(expertsPerLayer) }, updatedAt = null)
    }
}
