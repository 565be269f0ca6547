package org.shallotplank.bench

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.placement.PlacementSettings

private const val LAYERS = 8
private const val EXPERT_BYTES = 44_000_000L
private const val STORE_BYTES_PER_SECOND_AND_RANK = 12_500_000L
private const val MAX_MEAN_SKEW = 1.05
private const val RECOVERED_SKEW = 1.10
private const val MAX_RECOVERY_SECONDS = 60.0
private const val MAX_BYTES_RATIO = 0.25
private const val PLOT_EVERY_SECONDS = 10

private val shapes = listOf(
    RankGroupShape(ranks = 8, layers = LAYERS, expertsPerLayer = 32, slotsPerRank = 5),
    RankGroupShape(ranks = 32, layers = LAYERS, expertsPerLayer = 128, slotsPerRank = 5)
)
private val exponents = listOf(0.8, 1.0, 1.2)
private val straggler = Straggler(rank = 3, speed = 0.5, from = 120.seconds, until = 360.seconds)

/** Scenarios that measure placement. */
internal val placementScenarios: PersistentList<Scenario> = persistentListOf(
    driftScenario("placement-slow", "expert popularity drifts slowly", Drift.SLOW),
    driftScenario("placement-sudden", "expert popularity changes at once", Drift.SUDDEN),
    driftScenario("placement-cyclic", "expert popularity goes to and fro", Drift.CYCLIC),
    Scenario("placement-straggler", "one rank at half speed for four minutes", ::runStraggler),
    Scenario("placement-plan", "time for one plan", ::measurePlanTime)
)

private fun driftScenario(name: String, description: String, drift: Drift) =
    Scenario(name, description) { seed -> runDrift(drift, seed) }

private fun runDrift(drift: Drift, seed: Long): ScenarioResult {
    val cases = shapes.flatMap { shape -> exponents.map { PlacementCase(drift, shape, it, seed) } }
    val runs = cases.associateWith { it.runAll() }
    return ScenarioResult(
        figures = runs.flatMap { (case, run) -> driftFigures(case, run) }.toPersistentList(),
        series = runs.entries.last().let { (case, run) -> seriesOf(case, run) }
    )
}

/** One combination of drift, group shape and Zipf exponent, in which policies are compared. */
private class PlacementCase(
    val drift: Drift,
    val shape: RankGroupShape,
    val exponent: Double,
    private val seed: Long,
    private val straggler: Straggler? = null
) {
    private val settings = settingsFor(shape)
    val label = "${shape.ranks}x${shape.expertsPerLayer} zipf $exponent"

    fun runAll(): PolicyRuns {
        val random = Random(seed)
        val popularity = ExpertDrift(drift, exponent, shape.layers, shape.expertsPerLayer, random)
        val simulation =
            PlacementSimulation(shape, settings, popularity, drift.duration, straggler)
        return PolicyRuns(
            planned = simulation.run(PlannedPolicy(shape, settings), Random(seed)),
            greedy = simulation.run(GreedyPolicy(shape, settings), Random(seed)),
            static = simulation.run(StaticPolicy(), Random(seed)),
            unreplicated = simulation.run(StaticPolicy(), Random(seed), spareSlots = false)
        )
    }
}

/** The runs of all policies in one [PlacementCase]. */
private class PolicyRuns(
    val planned: PlacementRun,
    val greedy: PlacementRun,
    val static: PlacementRun,
    val unreplicated: PlacementRun
) {
    val named = listOf(
        NamedRun("planned", planned),
        NamedRun("greedy", greedy),
        NamedRun("static", static),
        NamedRun("no replication", unreplicated)
    )
}

private class NamedRun(val name: String, val run: PlacementRun)

internal fun settingsFor(shape: RankGroupShape) = PlacementSettings(
    expertBytes = EXPERT_BYTES,
    weightStoreBytesPerSecond = STORE_BYTES_PER_SECOND_AND_RANK * shape.ranks
)

private fun driftFigures(case: PlacementCase, runs: PolicyRuns): List<Figure> =
    runs.named.flatMap { (case figuresOf it) } +
        Figure(
            variant = "planned ${case.label}",
            name = "bytes moved, ratio to greedy",
            value = runs.planned.bytesMoved.toDouble() / runs.greedy.bytesMoved,
            unit = "ratio",
            target = Target.AtMost(MAX_BYTES_RATIO)
        )

private infix fun PlacementCase.figuresOf(named: NamedRun): List<Figure> {
    val variant = "${named.name} $label"
    val isPlanned = named.name == "planned"
    val meanTarget = Target.AtMost(MAX_MEAN_SKEW).takeIf { isPlanned && drift == Drift.SLOW }
    val figures = listOf(
        Figure(variant, "mean skew", named.run.meanSkew, "ratio", meanTarget),
        Figure(variant, "p99 skew", named.run.p99Skew, "ratio"),
        Figure(variant, "bytes moved", named.run.bytesMoved / 1e9, "GB"),
        Figure(variant, "map changes", named.run.mapChanges.toDouble(), "count")
    )
    if (drift != Drift.SUDDEN) return figures
    val seconds = named.run.secondsUntilUnder(RECOVERED_SKEW, suddenChangeAt)
    return figures + Figure(
        variant = variant,
        name = "time until under 1.10",
        value = seconds?.toDouble() ?: Double.POSITIVE_INFINITY,
        unit = "s",
        target = Target.AtMost(MAX_RECOVERY_SECONDS).takeIf { isPlanned }
    )
}

private fun seriesOf(case: PlacementCase, runs: PolicyRuns): PersistentList<Series> =
    runs.named.map { named ->
        val points = named.run.skews.withIndex().filter { it.index % PLOT_EVERY_SECONDS == 0 }
        Series(
            variant = "${named.name} ${case.label}",
            xLabel = "time (s)",
            yLabel = "skew (slowest rank over mean)",
            points = points.map {
                Point(it.index + PlacementRun.warmUp.inWholeSeconds.toDouble(), it.value)
            }.toPersistentList()
        )
    }.toPersistentList()

private fun runStraggler(seed: Long): ScenarioResult {
    val cases = shapes.map { PlacementCase(Drift.NONE, it, 1.0, seed, straggler) }
    val runs = cases.associateWith { it.runAll() }
    return ScenarioResult(
        figures = runs.flatMap { (case, run) ->
            run.named.flatMap { stragglerFigures(case, it) }
        }.toPersistentList(),
        series = runs.entries.last().let { (case, run) -> seriesOf(case, run) }
    )
}

private fun stragglerFigures(case: PlacementCase, named: NamedRun): List<Figure> {
    val variant = "${named.name} ${case.label}"
    val run = named.run
    val settled = straggler.from + 60.seconds
    val slowed = run.secondsUntilUnder(RECOVERED_SKEW, straggler.from)
    val back = run.secondsUntilUnder(RECOVERED_SKEW, straggler.until)
    return listOf(
        Figure(
            variant = variant,
            name = "mean skew from 60 s after the stall",
            value = run.meanSkewBetween(settled, straggler.until),
            unit = "ratio"
        ),
        Figure(variant, "time until under 1.10 after the stall", orInfinity(slowed), "s"),
        Figure(variant, "time until under 1.10 after its end", orInfinity(back), "s"),
        Figure(variant, "bytes moved", run.bytesMoved / 1e9, "GB")
    )
}

private fun orInfinity(seconds: Int?): Double = seconds?.toDouble() ?: Double.POSITIVE_INFINITY
