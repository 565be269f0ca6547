package org.shallotplank.bench

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.bench.simulation.AgentPolicy
import org.shallotplank.bench.simulation.BenchCustomer
import org.shallotplank.bench.simulation.CallerBehavior
import org.shallotplank.bench.simulation.EngineSettings
import org.shallotplank.bench.simulation.EntryPolicy
import org.shallotplank.bench.simulation.FIRST_TOKEN_BOUND
import org.shallotplank.bench.simulation.Measurements
import org.shallotplank.bench.simulation.STEP_BOUND
import org.shallotplank.bench.simulation.Simulation
import org.shallotplank.bench.simulation.SimulationSettings
import org.shallotplank.core.CustomerName

internal fun sustainableLoad(seed: Long): ScenarioResult {
    val rates = (40..72 step 4).map { it.toDouble() }
    val figures = mutableListOf<Figure>()
    val series = mutableListOf<Series>()
    routingVariants.forEach { variant ->
        val runs = rates.associateWith { rate ->
            val settings = SimulationSettings(rate, entryPolicy = variant.policy)
            Simulation(settings, seed).run().measurements
        }
        val sustainedRate = rates.takeWhile { runs.getValue(it).isSustained() }.maxOrNull() ?: 0.0
        figures += Figure(variant.name, "bearable load", sustainedRate, "requests/s")
        series += Series(
            variant.name,
            "requests per second",
            "refused share",
            runs.map { (rate, run) -> Point(rate, run.refusedShare) }.toPersistentList()
        )
    }
    return resultOf(figures, series)
}

private fun Measurements.isSustained(): Boolean = refusedShare <= MAX_SUSTAINED_REFUSED_SHARE &&
    firstToken(95.0) <= FIRST_TOKEN_BOUND &&
    step(95.0) <= STEP_BOUND

internal fun routing(seed: Long): ScenarioResult {
    val engines = mapOf<String, (Int) -> EngineSettings>(
        "equal engines" to { EngineSettings() },
        "two engines 1.4 times slower" to { EngineSettings(slowdown = if (it < 2) 1.4 else 1.0) }
    )
    val runs = engines.flatMap { (fleet, engine) ->
        routingVariants.map { variant ->
            val settings = SimulationSettings(
                requestsPerSecond = 0.9 * FULL_LOAD_REQUESTS_PER_SECOND,
                engine = engine,
                entryPolicy = variant.policy
            )
            Triple(variant.name, ", $fleet", Simulation(settings, seed).run())
        }
    }
    val figures = runs.flatMap { (variant, fleet, run) ->
        listOf(
            run.measurements.firstTokenFigure(variant, fleet),
            run.measurements.stepFigure(variant, fleet),
            run.measurements.refusedFigure(variant, fleet),
            Figure(variant, "goodput$fleet", run.goodputPerSecond(), "requests/s")
        )
    }
    return resultOf(
        figures,
        runs.take(routingVariants.size).map {
            it.third.goodputSeries(it.first)
        }
    )
}

internal fun overload(seed: Long): ScenarioResult {
    val variants = mapOf(
        OWN_VARIANT to AgentPolicy(),
        "fixed limit 24" to AgentPolicy(concurrency = { 24 }),
        "no limit" to unlimited
    )
    val figures = mutableListOf<Figure>()
    val series = mutableListOf<Series>()
    variants.forEach { (variant, policy) ->
        val runs = OVERLOAD_FACTORS.associateWith { factor ->
            val settings = SimulationSettings(
                requestsPerSecond = factor * FULL_LOAD_REQUESTS_PER_SECOND,
                agentPolicy = policy
            )
            Simulation(settings, seed).run()
        }
        val peak = runs.values.maxOf { it.goodputPerSecond() }
        listOf(1.0, 2.0, 5.0).forEach { factor ->
            val run = runs.getValue(factor)
            val share = if (peak == 0.0) 0.0 else run.goodputPerSecond() / peak
            val suffix = " at ${factor.formatted()}x"
            figures += Figure(variant, "goodput$suffix", run.goodputPerSecond(), "requests/s")
            val target = Target.AtLeast(0.9).takeIf { factor > 1.0 }
            figures += Figure(variant, "share of peak goodput$suffix", share, "", target)
            figures += run.measurements.firstTokenFigure(variant, suffix)
            figures += run.measurements.stepFigure(variant, suffix)
            figures += run.measurements.refusedFigure(variant, suffix)
            figures += run.measurements.withoutEndFigure(variant, suffix)
        }
        series += Series(
            variant,
            "load, times the bearable load",
            "goodput, requests per second",
            runs.map { (factor, run) -> Point(factor, run.goodputPerSecond()) }.toPersistentList()
        )
    }
    return resultOf(figures, series)
}

/** Starts each request at once, as if there were no agent. */
private val unlimited = AgentPolicy(concurrency = { 1_000_000 })

private val OVERLOAD_FACTORS = listOf(0.8, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0)

internal fun fairShares(seed: Long): ScenarioResult {
    val large = BenchCustomer(CustomerName("large"), 2 * FULL_LOAD_REQUESTS_PER_SECOND)
    val small = List(9) { BenchCustomer(CustomerName("small-$it"), 1.0) }
    val variants = mapOf(
        OWN_VARIANT to AgentPolicy(),
        "no shares" to AgentPolicy(admission = { it.copy(customer = CustomerName("anyone")) })
    )
    val figures = variants.flatMap { (variant, policy) ->
        val settings = SimulationSettings(
            requestsPerSecond = large.requestsPerSecond + small.size,
            customers = small + large,
            agentPolicy = policy
        )
        val run = Simulation(settings, seed).run()
        val ofSmall = small.map { run.of(it.name) }
        val worst = ofSmall.maxBy { it.refusedShare }
        listOf(
            Figure(variant, "refused share of small customers", ofSmall.refusedShare(), ""),
            Figure(variant, "refused share of the worst off", worst.refusedShare, ""),
            run.of(large.name).refusedFigure(variant, " of the large customer"),
            ofSmall.maxBy { it.firstToken(95.0) }.firstTokenFigure(variant, " of small, worst"),
            run.measurements.firstTokenFigure(variant, " of all"),
            Figure(variant, "goodput", run.goodputPerSecond(), "requests/s")
        )
    }
    return resultOf(figures)
}

private fun List<Measurements>.refusedShare(): Double =
    sumOf { it.refused }.toDouble() / sumOf { it.calls }

internal fun retries(seed: Long): ScenarioResult {
    val policies = mapOf(
        OWN_VARIANT to (AgentPolicy() to EntryPolicy()),
        "no retry budget" to
            (AgentPolicy() to EntryPolicy(hasRetryBudget = false, maxAttempts = 6)),
        "no limit" to (unlimited to EntryPolicy(hasRetryBudget = false))
    )
    val runs = policies.flatMap { (variant, policy) ->
        CallerBehavior.entries.map { callers ->
            val settings = SimulationSettings(
                requestsPerSecond = 1.5 * FULL_LOAD_REQUESTS_PER_SECOND,
                agentPolicy = policy.first,
                entryPolicy = policy.second,
                callers = callers,
                duration = 20.seconds
            )
            Triple(variant, callers, Simulation(settings, seed).run())
        }
    }
    val peak = runs.filter { it.first == OWN_VARIANT }.maxOf { it.third.goodputPerSecond() }
    val figures = runs.flatMap { (variant, callers, run) ->
        val suffix = ", callers ${callers.label}"
        listOf(
            Figure(
                variant,
                "share of peak goodput$suffix",
                run.goodputPerSecond() / peak,
                "",
                Target.AtLeast(0.9)
            ),
            run.measurements.firstTokenFigure(variant, suffix),
            run.measurements.stepFigure(variant, suffix),
            Figure(variant, "calls$suffix", run.measurements.calls.toDouble(), ""),
            Figure(variant, "attempts at agents$suffix", run.attempts.toDouble(), "")
        )
    }
    return resultOf(
        figures,
        runs.map { (variant, callers, run) ->
            run.goodputSeries("$variant, ${callers.label}")
        }.take(CallerBehavior.entries.size)
    )
}

private val CallerBehavior.label: String get() = name.lowercase().replace('_', ' ')

private val Simulation.attempts: Int get() = agents.sumOf { it.attemptCount }
