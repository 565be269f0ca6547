package org.shallotplank.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlin.time.TimeSource
import kotlinx.collections.immutable.PersistentList

/** Command line of the bench. */
internal class BenchCommand(private val scenarios: PersistentList<Scenario>) :
    CliktCommand(name = "bench") {
    private val chosen: List<Scenario> by argument(name = "SCENARIO", help = "all by default")
        .choice(scenarios.associateBy { it.name })
        .multiple()

    private val seed: Long by option(help = "seed of all random numbers").long().default(1L)

    private val output: Path by option(help = "directory for CSV files and plots")
        .path(canBeFile = false)
        .default(Path.of("target", "bench"))

    override fun help(context: Context): String = "Measures the decision code and real processes."

    override fun run() {
        val selected = chosen.ifEmpty { scenarios }
        selected.forEachIndexed { index, scenario ->
            progress("[${index + 1}/${selected.size}] ${scenario.name}: ${scenario.description}")
            val started = TimeSource.Monotonic.markNow()
            val report = Report(scenario, seed, resultOf(scenario))
            echo(report.toTable())
            report.writeTo(output)
            progress("[${index + 1}/${selected.size}] done in ${started.elapsedNow()}")
        }
    }

    private fun resultOf(scenario: Scenario): ScenarioResult = runCatching { scenario.run(seed) }
        .getOrElse { throw ScenarioFailedException(scenario.name, it) }

    private fun progress(line: String) = echo(line, err = true)
}

/** Thrown when a scenario fails with an exception. */
internal class ScenarioFailedException(scenario: String, cause: Throwable) :
    Exception("scenario $scenario could not be run", cause)
