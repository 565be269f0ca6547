package org.shallotplank.bench

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.measureTimedValue
import kotlinx.collections.immutable.persistentListOf
import org.HdrHistogram.Histogram
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.ExpertPopularity
import org.shallotplank.core.placement.MapPlanner
import org.shallotplank.core.placement.RankSpeeds

private const val MAX_PLAN_MILLIS = 50.0
private const val WARM_UP_PLANS = 30
private const val MEASURED_PLANS = 200
private const val HISTOGRAM_DIGITS = 3
private const val MANY_LAYERS = 58

/**
 * Measures the time of a plan in two cases: the popularity is unrelated to the map, or earlier
 * plans have already adapted the map to it, so that the remaining improvements are hard to find.
 */
internal fun measurePlanTime(seed: Long): ScenarioResult {
    val small = planTimes(layers = 8, seed = seed, isSettled = false)
    val large = planTimes(layers = MANY_LAYERS, seed = seed, isSettled = false)
    val settled = planTimes(layers = MANY_LAYERS, seed = seed, isSettled = true)
    return ScenarioResult(
        persistentListOf(
            planFigure("32x128 8 layers", "median", small.getValueAtPercentile(50.0)),
            planFigure("32x128 8 layers", "p99", small.getValueAtPercentile(99.0)),
            planFigure("32x128 $MANY_LAYERS layers", "median", large.getValueAtPercentile(50.0)),
            planFigure("32x128 $MANY_LAYERS layers", "p99", large.getValueAtPercentile(99.0)),
            planFigure("32x128 settled", "median", settled.getValueAtPercentile(50.0)),
            planFigure("32x128 settled", "p99", settled.getValueAtPercentile(99.0))
        )
    )
}

private fun planFigure(variant: String, statistic: String, micros: Long) = Figure(
    variant = variant,
    name = "plan time, $statistic",
    value = micros / 1_000.0,
    unit = "ms",
    target = Target.AtMost(MAX_PLAN_MILLIS)
)

private fun planTimes(layers: Int, seed: Long, isSettled: Boolean): Histogram {
    val shape =
        RankGroupShape(ranks = 32, layers = layers, expertsPerLayer = 128, slotsPerRank = 5)
    val random = Random(seed)
    val planner = MapPlanner(settingsFor(shape))
    val speeds = RankSpeeds.equal(shape.ranks)
    val histogram = Histogram(HISTOGRAM_DIGITS)
    var map = ExpertMap.initial(shape)
    var popularity = popularityOf(shape, random)
    repeat(WARM_UP_PLANS + MEASURED_PLANS) { round ->
        val timed = measureTimedValue { planner.plan(map, popularity, speeds) }
        if (round >= WARM_UP_PLANS) histogram.recordValue(timed.duration.inWholeMicroseconds)
        if (isSettled) map = timed.value?.map ?: map else popularity = popularityOf(shape, random)
    }
    return histogram
}

private fun popularityOf(shape: RankGroupShape, random: Random): ExpertPopularity {
    val drift = ExpertDrift(Drift.NONE, 1.0, shape.layers, shape.expertsPerLayer, random)
    val tokens = List(shape.layers) { layer ->
        drift.shares(layer, Duration.ZERO).map { (it * 1e6).toInt() }.toIntArray()
    }
    return ExpertPopularity.unknown(shape.layers, shape.expertsPerLayer)
        .plus(tokens, Instant.fromEpochSeconds(0), halfLife = 10.seconds)
}
