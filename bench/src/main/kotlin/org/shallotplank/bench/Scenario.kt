package org.shallotplank.bench

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * A benchmark scenario that `scripts/bench` runs by [name].
 *
 * [run] must derive all random numbers from its seed, so that a scenario on a virtual clock prints
 * the same figures each time.
 */
internal data class Scenario(
    val name: String,
    val description: String,
    val run: (seed: Long) -> ScenarioResult
)

/** Figures and plot lines that a scenario measured. */
internal data class ScenarioResult(
    val figures: PersistentList<Figure>,
    val series: PersistentList<Series> = persistentListOf()
)

/** One measured value; [variant] names the policy or baseline that it belongs to. */
internal data class Figure(
    val variant: String,
    val name: String,
    val value: Double,
    val unit: String,
    val target: Target? = null
)

/** Bound that a requirement sets for a figure. */
internal sealed interface Target {
    val bound: Double

    /** Whether [value] meets the bound. */
    fun isMetBy(value: Double): Boolean

    /** The figure must not exceed [bound]. */
    data class AtMost(override val bound: Double) : Target {
        override fun isMetBy(value: Double): Boolean = value <= bound
    }

    /** The figure must not be below [bound]. */
    data class AtLeast(override val bound: Double) : Target {
        override fun isMetBy(value: Double): Boolean = value >= bound
    }
}

/** One line in the plot of a scenario. */
internal data class Series(
    val variant: String,
    val xLabel: String,
    val yLabel: String,
    val points: PersistentList<Point>
)

/** One point of a [Series]. */
internal data class Point(val x: Double, val y: Double)
