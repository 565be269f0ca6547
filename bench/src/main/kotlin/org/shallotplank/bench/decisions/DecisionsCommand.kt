package org.shallotplank.bench.decisions

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.math.sqrt
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.bench.Point
import org.shallotplank.bench.Series
import org.shallotplank.bench.svgPlot
import org.shallotplank.bench.textTable

/** Compares ways of deciding on one load, with the same traffic for each way. */
internal class DecisionsCommand : CliktCommand(name = "decisions") {
    private val ways: List<String> by option(help = "two or more of ${decisionWays.keys}")
        .split(",")
        .required()
    private val loads: List<Path> by option("--load", help = "load file; may be repeated")
        .path(mustExist = true, canBeDir = false)
        .multiple(required = true)
    private val seeds: Int by option(help = "number of seeds").int().default(40)
    private val seed: Long by option(help = "first seed").long().default(1L)
    private val output: Path by option(help = "directory for the plots")
        .path(canBeFile = false)
        .default(Path.of("target", "bench"))

    override fun help(context: Context): String =
        "Compares ways of deciding; differences are paired by seed, with a 95% interval."

    override fun run() {
        val unknown = ways - decisionWays.keys
        if (unknown.isNotEmpty()) {
            throw UsageError("--ways: expected some of ${decisionWays.keys}, found $unknown")
        }
        loads.forEach { compare(readLoadFile(it)) }
    }

    private fun compare(load: DecisionLoad) {
        val runs = ways.associateWith { way ->
            (seed until seed + seeds).asSequence().toList().parallelStream()
                .map { DecisionSimulation(load, decisionWays.getValue(way), it).run().figures() }
                .toList()
        }
        val first = runs.getValue(ways.first())
        for (way in ways.drop(1)) {
            echo("\n${load.name}: $way compared with ${ways.first()}, $seeds seeds from $seed")
            val rows = first.first().keys.map { figure ->
                PairedFigure(
                    figure,
                    first.map {
                        it.getValue(figure)
                    },
                    runs.getValue(way).map { it.getValue(figure) }
                )
                    .cells()
            }
            echo(textTable(listOf("figure", ways.first(), way, "difference", "95% interval"), rows))
        }
        Files.createDirectories(output)
        val series = runs.map { (way, figures) ->
            Series(
                variant = way,
                xLabel = "seed",
                yLabel = "worth, all",
                points = figures.mapIndexed { index, run ->
                    Point(seed + index.toDouble(), run.getValue("worth, all"))
                }.toPersistentList()
            )
        }
        output.resolve(
            "decisions-${load.name}.svg"
        ).writeText(svgPlot("decisions, ${load.name}", series))
    }
}

/** A figure of two ways, run by run with the same seeds. */
private class PairedFigure(
    private val name: String,
    private val before: List<Double>,
    private val after: List<Double>
) {
    private val differences = before.zip(after) { a, b -> b - a }

    fun cells(): List<String> {
        val mean = differences.average()
        val variance = differences.sumOf { (it - mean) * (it - mean) } /
            (differences.size - 1).coerceAtLeast(1)
        val halfWidth = NORMAL_QUANTILE * sqrt(variance / differences.size)
        return listOf(
            name,
            "%.4f".format(before.average()),
            "%.4f".format(after.average()),
            "%+.4f".format(mean),
            "%+.4f to %+.4f".format(mean - halfWidth, mean + halfWidth)
        )
    }

    private companion object {
        /** Half-width of a 95% interval in standard errors. */
        const val NORMAL_QUANTILE = 1.96
    }
}
