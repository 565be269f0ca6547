package org.shallotplank.bench

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.bench.simulation.EntryPolicy
import org.shallotplank.bench.simulation.FIRST_TOKEN_BOUND
import org.shallotplank.bench.simulation.Measurements
import org.shallotplank.bench.simulation.RoutingPolicy
import org.shallotplank.bench.simulation.STEP_BOUND
import org.shallotplank.bench.simulation.Simulation
import org.shallotplank.bench.simulation.leastOutstanding
import org.shallotplank.bench.simulation.randomRouting
import org.shallotplank.bench.simulation.roundRobin
import org.shallotplank.bench.simulation.shallotplankRouting
import org.shallotplank.bench.simulation.twoChoicesOnStaleLoad

/** Variant name of this project's own policy in all tables. */
internal const val OWN_VARIANT = "shallotplank"

/** Request rate that counts as the full load of the twelve engines of a simulation. */
internal const val FULL_LOAD_REQUESTS_PER_SECOND = 60.0

/** Largest share of refused requests at which a load still counts as sustained. */
internal const val MAX_SUSTAINED_REFUSED_SHARE = 0.001

/** An entry policy, and the variant name of its figures. */
internal data class RoutingVariant(val name: String, val policy: EntryPolicy)

/** This project's own routing policy, then the baselines. */
internal val routingVariants: List<RoutingVariant> = listOf(
    routingVariant(OWN_VARIANT) { shallotplankRouting },
    routingVariant("round robin") { roundRobin() },
    routingVariant("random") { randomRouting },
    routingVariant("two choices on stale load") { twoChoicesOnStaleLoad },
    routingVariant("least outstanding") { leastOutstanding }
)

private fun routingVariant(name: String, newRouting: () -> RoutingPolicy) =
    RoutingVariant(name, EntryPolicy(newRouting = newRouting))

/** 95th percentile of the time to the first token of completed calls. */
internal fun Measurements.firstTokenFigure(variant: String, suffix: String = "") = Figure(
    variant,
    "p95 first token$suffix",
    if (completed == 0) Double.NaN else firstToken(95.0).inMillis(),
    "ms",
    Target.AtMost(FIRST_TOKEN_BOUND.inMillis())
)

/** 95th percentile of the mean time between tokens of completed calls. */
internal fun Measurements.stepFigure(variant: String, suffix: String = "") = Figure(
    variant,
    "p95 time between tokens$suffix",
    if (completed == 0) Double.NaN else step(95.0).inMillis(),
    "ms",
    Target.AtMost(STEP_BOUND.inMillis())
)

/** Number of calls that had neither completed nor been refused at the end of the run. */
internal fun Measurements.withoutEndFigure(variant: String, suffix: String = "") = Figure(
    variant,
    "requests without an end$suffix",
    withoutEnd.toDouble(),
    "",
    Target.AtMost(0.0)
)

/** Share of calls that were refused. */
internal fun Measurements.refusedFigure(
    variant: String,
    suffix: String = "",
    target: Target? = null
) = Figure(variant, "refused share$suffix", refusedShare, "", target)

/** Number of completed calls within both latency bounds, per second. */
internal fun Simulation.goodputPerSecond(): Double =
    measurements.good / settings.duration.toDouble(DurationUnit.SECONDS)

/** Number of requests started on engines that were not warm and already at their capacity. */
internal fun Simulation.startedAboveColdFigure(variant: String, suffix: String = "") = Figure(
    variant,
    "requests above what a cold engine bears$suffix",
    agents.sumOf { it.engine.startedAboveColdCapacity }.toDouble(),
    "",
    Target.AtMost(0.0)
)

/** Number of calls that completed in each second after the warm-up and met both latency bounds. */
internal fun Simulation.goodputSeries(variant: String): Series {
    val warmUp = settings.warmUp.inWholeSeconds.toInt()
    return Series(
        variant = variant,
        xLabel = "time after the warm-up, s",
        yLabel = "answers in time per second",
        points = (0 until settings.duration.inWholeSeconds.toInt())
            .map { Point(it.toDouble(), (measurements.goodput()[it + warmUp] ?: 0).toDouble()) }
            .toPersistentList()
    )
}

internal fun Duration.inMillis(): Double = toDouble(DurationUnit.MILLISECONDS)

/** Result of [figures]; without [series], the report plots the figures themselves. */
internal fun resultOf(figures: List<Figure>, series: List<Series> = persistentListOf()) =
    ScenarioResult(figures.toPersistentList(), series.toPersistentList())
