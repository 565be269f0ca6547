package org.shallotplank.bench

import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale
import kotlin.io.path.writeText
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * Renders the figures of one scenario as a table, as CSV and as a plot.
 *
 * Figures of the same name are compared with each other. The first variant of a name is the
 * project's own policy, the others are baselines; the ratio is the figure over that of the first.
 */
internal class Report(
    private val scenario: Scenario,
    private val seed: Long,
    private val result: ScenarioResult
) {
    private val rows: PersistentList<ReportRow> = result.figures
        .groupBy { it.name }
        .values
        .flatMap { group -> group.map { ReportRow(it, own = group.first()) } }
        .toPersistentList()

    /** Renders the figures as a text table. */
    fun toTable(): String {
        val title = "${scenario.name} (seed $seed): ${scenario.description}"
        return "\n$title\n" + textTable(HEADINGS, rows.map { it.cells(seed) })
    }

    /** Writes the CSV file and the plot to [directory], replacing earlier ones. */
    fun writeTo(directory: Path) {
        Files.createDirectories(directory)
        directory.resolve("${scenario.name}.csv").writeText(toCsv())
        directory.resolve("${scenario.name}.svg").writeText(toPlot())
    }

    internal fun toCsv(): String = (listOf(HEADINGS) + rows.map { it.cells(seed) })
        .joinToString("\n", postfix = "\n") { cells -> cells.joinToString(",", transform = ::csv) }

    private fun toPlot(): String {
        val series = result.series.ifEmpty { result.figures.asSeries() }
        return svgPlot("${scenario.name}, seed $seed", series)
    }
}

/** One row of a report. */
private class ReportRow(private val figure: Figure, private val own: Figure) {
    fun cells(seed: Long): List<String> = listOf(
        figure.name,
        figure.variant,
        figure.value.formatted(),
        figure.unit,
        if (own.value == 0.0) "-" else (figure.value / own.value).formatted(),
        figure.target?.formatted() ?: "-",
        figure.target?.let { if (it.isMetBy(figure.value)) "met" else "NOT MET" } ?: "-",
        seed.toString()
    )
}

private val HEADINGS =
    listOf("figure", "variant", "value", "unit", "ratio to first", "target", "met", "seed")

private fun Target.formatted(): String = when (this) {
    is Target.AtMost -> "<= ${bound.formatted()}"
    is Target.AtLeast -> ">= ${bound.formatted()}"
}

internal fun Double.formatted(): String = when {
    isNaN() || isInfinite() -> toString()
    this == Math.rint(this) && kotlin.math.abs(this) < 1e9 -> toLong().toString()
    kotlin.math.abs(this) < 0.01 -> String.format(Locale.ROOT, "%.2e", this)
    else -> String.format(Locale.ROOT, "%.3f", this)
}

private fun csv(cell: String): String =
    if (cell.any { it in ",\"\n" }) "\"${cell.replace("\"", "\"\"")}\"" else cell

/** Formats [rows] as a text table with [headings]. */
internal fun textTable(headings: List<String>, rows: List<List<String>>): String {
    val widths = headings.indices.map { column ->
        (rows + listOf(headings)).maxOf { it[column].length }
    }
    val rule = widths.map { "-".repeat(it) }
    return (listOf(headings, rule) + rows).joinToString("\n") { cells ->
        cells.zip(widths) { cell, width -> cell.padEnd(width) }
            .joinToString(" | ", prefix = "| ", postfix = " |")
    }
}

/** Plots the values of each variant in the order of the figures, for scenarios without series. */
private fun List<Figure>.asSeries(): List<Series> = groupBy { it.variant }.map { (name, figures) ->
    Series(
        variant = name,
        xLabel = "figure, in the order of the table",
        yLabel = "value",
        points = figures
            .mapIndexed { index, figure -> Point(index.toDouble(), figure.value) }
            .toPersistentList()
    )
}
