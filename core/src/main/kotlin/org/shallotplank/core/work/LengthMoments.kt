package org.shallotplank.core.work

import kotlin.math.sqrt

/**
 * Decaying moments of the lengths of a service's answers.
 *
 * A length is a number of tokens or, for plain services, the processing time in milliseconds.
 *
 * @property weight number of observations, less by the decay of earlier ones.
 * @property sum sum of the lengths, with the same decay.
 * @property squares sum of their squares, with the same decay.
 * @property observed number of observations without decay.
 */
public data class LengthMoments(
    val weight: Double = 0.0,
    val sum: Double = 0.0,
    val squares: Double = 0.0,
    val observed: Long = 0
) {
    val mean: Double? get() = if (weight > 0.0) sum / weight else null

    /** Standard deviation over the mean; null with fewer than [MIN_WEIGHT] observations. */
    val dispersion: Double?
        get() {
            val mean = mean?.takeIf { it > 0.0 && weight >= MIN_WEIGHT } ?: return null
            return sqrt((squares / weight - mean * mean).coerceAtLeast(0.0)) / mean
        }

    internal fun with(length: Double): LengthMoments = LengthMoments(
        weight = weight * KEPT + 1,
        sum = sum * KEPT + length,
        squares = squares * KEPT + length * length,
        observed = observed + 1
    )

    internal operator fun plus(other: LengthMoments) = LengthMoments(
        weight = weight + other.weight,
        sum = sum + other.sum,
        squares = squares + other.squares,
        observed = observed + other.observed
    )

    internal companion object {
        /** Part of the weight that remains after one more observation. */
        private const val KEPT = 1 - 1.0 / 500

        /**
         * The standard error of the dispersion is 0.025 with this many observations, less than a
         * third of the distance between the lengths that counting suits and the threshold.
         */
        const val MIN_WEIGHT = 300.0
    }
}

/**
 * Whether lengths of [dispersion] differ so much that counting requests misjudges the load.
 *
 * [isInEffect] is the previous answer, which stays between the two thresholds.
 */
internal fun isDispersed(dispersion: Double?, isInEffect: Boolean): Boolean = when {
    dispersion == null -> isInEffect
    isInEffect -> dispersion >= DISPERSION_OFF
    else -> dispersion >= DISPERSION_ON
}

/**
 * Log-normal lengths with a standard deviation of 0.9 of the mean, limited to 2.5 times the mean,
 * have a dispersion of 0.71; with 1.2 it is 0.83, and with 1.5 it is 0.92.
 */
private const val DISPERSION_ON = 0.79
private const val DISPERSION_OFF = 0.74
