package org.shallotplank.runtime

import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertEquals

/**
 * A page of `docs` with one table, whose first columns are generated from the code.
 *
 * The other columns are written by hand and kept when the table is generated again.
 */
internal class DocumentationPage(file: String) {
    private val path = Path.of("../docs").resolve(file)
    private val lines = path.readText().lines()
    private val rulerAt = lines.indexOfFirst { it.startsWith("| --- ") }
    private val columnCount = lines[rulerAt].cells().size
    private val rows = lines.drop(rulerAt + 1).takeWhile { it.startsWith("| ") }
    private val rowsByKey = rows.map { it.cells() }.associateBy { it.first() }

    /** Compares the table with [generated]; writes it if `shallotplank.docs.write` is true. */
    fun assertTable(generated: List<List<String>>) {
        val table = generated.map { cells ->
            val missing = List(columnCount - cells.size) { "" }
            val written = rowsByKey[cells.first()]?.drop(cells.size) ?: missing
            cells + written
        }
        val expected = table.map { "| ${it.joinToString(" | ")} |" }
        if (System.getProperty("shallotplank.docs.write") == "true") write(expected)
        val incomplete = generated.zip(table)
            .filter { (cells, row) -> row.drop(cells.size).any { it.isBlank() } }
            .map { (cells, _) -> cells.first() }
        assertEquals(emptyList(), incomplete, "rows of $path with empty hand-written cells")
        if (System.getProperty("shallotplank.docs.write") == "true") return
        assertEquals(expected, rows, "$path differs from the code; see CONTRIBUTING.md")
    }

    private fun write(table: List<String>) {
        val after = lines.drop(rulerAt + 1 + rows.size)
        path.writeText((lines.take(rulerAt + 1) + table + after).joinToString("\n"))
    }

    private fun String.cells() = removeSurrounding("| ", " |").split(" | ")
}
