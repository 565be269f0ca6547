package org.shallotplank.bench

import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How the popularity of experts changes over time. */
internal enum class Drift(val duration: Duration) {
    /** Gradual change from one popularity to an unrelated one and on to the next, in 1 h each. */
    SLOW(30.minutes),

    /** Change to an unrelated popularity at once, at [suddenChangeAt]. */
    SUDDEN(10.minutes),

    /** Gradual change between two unrelated popularities and back, with a period of 20 min. */
    CYCLIC(40.minutes),

    /** No change. */
    NONE(11.minutes)
}

/** Time at which the popularity changes in a run with [Drift.SUDDEN]. */
internal val suddenChangeAt: Duration = 300.seconds

private val slowPeriod = 1.hours
private val cyclePeriod = 20.minutes

/**
 * Popularity of the experts of each layer over time. The weights follow Zipf's law with [exponent];
 * the ranking of the experts is random for each layer and changes according to [drift].
 */
internal class ExpertDrift(
    private val drift: Drift,
    private val exponent: Double,
    layers: Int,
    experts: Int,
    random: Random
) {
    private val logWeights = List(layers) {
        List(ORDERS) {
            List(experts) { place -> -exponent * ln(place + 1.0) }.shuffled(random)
        }
    }

    /** Share of the tokens of [layer] that each expert receives at [elapsed]. */
    fun shares(layer: Int, elapsed: Duration): DoubleArray {
        val position = position(elapsed)
        val order = position.toInt().coerceAtMost(ORDERS - 2)
        val from = logWeights[layer][order]
        val to = logWeights[layer][order + 1]
        val mix = position - order
        val weights = DoubleArray(from.size) { exp(from[it] * (1 - mix) + to[it] * mix) }
        val total = weights.sum()
        return DoubleArray(from.size) { weights[it] / total }
    }

    private fun position(elapsed: Duration): Double = when (drift) {
        Drift.SLOW -> elapsed / slowPeriod
        Drift.SUDDEN -> if (elapsed < suddenChangeAt) 0.0 else 1.0
        Drift.CYCLIC -> (1 - cos(2 * PI * (elapsed / cyclePeriod))) / 2
        Drift.NONE -> 0.0
    }

    private companion object {
        const val ORDERS = 3
    }
}
