package org.shallotplank.core.placement

import kotlin.time.Duration

/**
 * Estimated speed of each rank relative to the median rank, which has 1.0.
 *
 * Immutable. A straggler, which takes longer per token of its load, has a speed below 1.0.
 */
public class RankSpeeds private constructor(private val speeds: DoubleArray) {
    /** Number of ranks. */
    public val size: Int get() = speeds.size

    /** The speed of [rank]. */
    public operator fun get(rank: Int): Double = speeds[rank]

    /**
     * Updates the averages with the time that each rank was [busy] with its [loads] in one window.
     *
     * [weight] is the weight of the window in the average, from 0.0 to 1.0. Windows with another
     * number of ranks, or in which a rank reported no work, are ignored.
     */
    public fun plus(loads: DoubleArray, busy: List<Duration>, weight: Double): RankSpeeds {
        val isUsable = loads.size == size &&
            busy.size == size &&
            loads.all { it > 0.0 } &&
            busy.all { it > Duration.ZERO }
        if (!isUsable) return this
        val rates = DoubleArray(size) { loads[it] / busy[it].inWholeMicroseconds }
        val median = rates.sorted()[size / 2]
        return RankSpeeds(
            DoubleArray(size) {
                val observed = (rates[it] / median).coerceIn(MIN_SPEED, MAX_SPEED)
                val snapped = if (observed in nominalSpeeds) 1.0 else observed
                speeds[it] * (1.0 - weight) + snapped * weight
            }
        )
    }

    internal fun toArray(): DoubleArray = speeds.copyOf()

    public companion object {
        private const val MIN_SPEED = 0.05
        private const val MAX_SPEED = 1.5
        private val nominalSpeeds = 0.97..1.03

        /** Returns the speeds of ranks whose work takes [slowdowns] times as long as usual. */
        public fun ofSlowdowns(slowdowns: List<Double>): RankSpeeds = RankSpeeds(
            DoubleArray(slowdowns.size) {
                (1.0 / slowdowns[it]).coerceIn(MIN_SPEED, 1.0)
            }
        )

        /** Returns equal speeds for [ranks] ranks. */
        public fun equal(ranks: Int): RankSpeeds = RankSpeeds(DoubleArray(ranks) { 1.0 })
    }
}
