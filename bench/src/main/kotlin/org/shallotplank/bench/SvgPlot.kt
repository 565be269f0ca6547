package org.shallotplank.bench

import java.util.Locale
import kotlin.math.max

/**
 * Draws [series] as lines in an SVG image, with one panel for each label of the y axis.
 *
 * No chart library is used: those render through AWT fonts, which a headless JDK may lack.
 */
internal fun svgPlot(title: String, series: List<Series>): String {
    val panels = series.groupBy { it.yLabel }.values.toList()
    val height = TITLE_HEIGHT + panels.size * PANEL_HEIGHT
    val body = panels.mapIndexed { index, lines ->
        Panel(lines, top = TITLE_HEIGHT + index * PANEL_HEIGHT.toDouble()).draw()
    }
    return buildString {
        appendLine(
            """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$height" """ +
                """font-family="sans-serif" font-size="12">"""
        )
        appendLine("""<rect width="100%" height="100%" fill="white"/>""")
        appendLine(text(MARGIN_LEFT, 20.0, title))
        body.forEach(::appendLine)
        appendLine("</svg>")
    }
}

/** The axes, lines and legend of the [lines] that share a y axis. */
private class Panel(private val lines: List<Series>, private val top: Double) {
    private val points = lines.flatMap { it.points }.filter { it.x.isFinite() && it.y.isFinite() }
    private val minX = points.minOfOrNull { it.x } ?: 0.0
    private val maxX = max(minX + 1e-9, points.maxOfOrNull { it.x } ?: 1.0)
    private val minY = minOf(0.0, points.minOfOrNull { it.y } ?: 0.0)
    private val maxY = max(minY + 1e-9, points.maxOfOrNull { it.y } ?: 1.0)

    fun draw(): String = (axes() + lines.flatMapIndexed(::line)).joinToString("\n")

    private fun axes(): List<String> {
        val bottom = y(minY)
        return listOf(
            stroke(MARGIN_LEFT, y(maxY), MARGIN_LEFT, bottom),
            stroke(MARGIN_LEFT, bottom, PLOT_RIGHT, bottom),
            text(4.0, y(maxY) + 4, maxY.formatted()),
            text(4.0, bottom, minY.formatted()),
            text(MARGIN_LEFT, bottom + 16, minX.formatted()),
            text(PLOT_RIGHT - 30, bottom + 16, maxX.formatted()),
            text((MARGIN_LEFT + PLOT_RIGHT) / 2, bottom + 16, lines.first().xLabel),
            text(MARGIN_LEFT, y(maxY) - 8, lines.first().yLabel)
        )
    }

    private fun line(index: Int, series: Series): List<String> {
        val color = COLORS[index % COLORS.size]
        val path = series.points
            .filter { it.x.isFinite() && it.y.isFinite() }
            .joinToString(" ") { "${format(x(it.x))},${format(y(it.y))}" }
        val legendY = top + 24 + index * 16.0
        return listOf(
            """<polyline points="$path" fill="none" stroke="$color" stroke-width="1.5"/>""",
            text(PLOT_RIGHT + 10, legendY, series.variant, color)
        )
    }

    private fun x(value: Double): Double =
        MARGIN_LEFT + (value - minX) / (maxX - minX) * (PLOT_RIGHT - MARGIN_LEFT)

    private fun y(value: Double): Double =
        top + 24 + (1 - (value - minY) / (maxY - minY)) * (PANEL_HEIGHT - 64)
}

private fun text(x: Double, y: Double, content: String, color: String = "black"): String {
    val escaped = content.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
    return """<text x="${format(x)}" y="${format(y)}" fill="$color">$escaped</text>"""
}

private fun stroke(x1: Double, y1: Double, x2: Double, y2: Double): String =
    """<line x1="${format(x1)}" y1="${format(y1)}" x2="${format(x2)}" y2="${format(y2)}" """ +
        """stroke="gray"/>"""

private fun format(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

private const val WIDTH = 960
private const val PANEL_HEIGHT = 260
private const val TITLE_HEIGHT = 30
private const val MARGIN_LEFT = 70.0
private const val PLOT_RIGHT = 740.0
private val COLORS = listOf("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9")
