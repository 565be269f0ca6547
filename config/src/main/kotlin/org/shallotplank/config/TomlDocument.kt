package org.shallotplank.config

import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlParseError
import org.tomlj.TomlPosition
import org.tomlj.TomlTable

/** One parsed file whose tables are read by their [TableSpec]; faults go to [findings]. */
internal class TomlDocument private constructor(
    private val file: String,
    private val root: TomlTable,
    private val findings: FindingCollector
) {
    /** Names of the tables and keys at the top level of the file. */
    val topLevelNames: Set<String> get() = root.keySet()

    /** Reports top-level names that [spec] does not define. */
    fun checkTopLevel(spec: FileSpec) {
        val known = spec.tables.flatMap { table ->
            if (table.shape == TableShape.ROOT) table.keys.map { it.name } else listOf(table.name)
        }
        reportUnknown(root, known, findings) { name ->
            UnknownName(SourceLocation(file, root.position(name)), name)
        }
    }

    /** Reader of the keys outside any table. */
    fun root(spec: TableSpec): TableReader =
        TableReader(spec, root, SourceLocation(file, line = 1, column = 1), findings)

    /** Reader of the table [spec]; null if it is absent or not a table. */
    fun optional(spec: TableSpec): TableReader? {
        val value = root.value(spec.name) ?: return null
        val location = SourceLocation(file, root.position(spec.name))
        if (value is TomlTable) return reader(spec, value, location)
        findings.report(location, spec.name, "a table [${spec.name}]", kindOf(value))
        return null
    }

    /** Reader of the table [spec], empty if it is absent; null if it is not a table. */
    fun single(spec: TableSpec): TableReader? {
        if (root.value(spec.name) != null) return optional(spec)
        return TableReader(spec, Toml.parse(""), SourceLocation(file), findings)
    }

    /** Readers of the array of tables [spec], which must not be empty. */
    fun repeated(spec: TableSpec): List<TableReader> {
        val value = root.value(spec.name)
        val location = SourceLocation(file, value?.let { root.position(spec.name) })
        val expected = "one or more tables [[${spec.name}]]"
        if (value !is TomlArray || value.isEmpty || value.toList().any { it !is TomlTable }) {
            findings.report(location, spec.name, expected, value?.let(::kindOf) ?: "none")
            return emptyList()
        }
        return (0 until value.size()).map { index ->
            reader(spec, value.getTable(index), SourceLocation(file, value.inputPositionOf(index)))
        }
    }

    private fun reader(spec: TableSpec, table: TomlTable, location: SourceLocation): TableReader {
        reportUnknown(table, spec.keys.map { it.name }, findings) { name ->
            UnknownName(SourceLocation(file, table.position(name)), spec.path(name))
        }
        return TableReader(spec, table, location, findings)
    }

    companion object {
        /** Parses [source]; on syntax errors, reports them to [findings] and returns null. */
        fun parse(source: SourceFile, findings: FindingCollector): TomlDocument? {
            val result = Toml.parse(source.text)
            result.errors().forEach { error ->
                val location = SourceLocation(source.path, error.position())
                findings.report(location, "syntax", "valid TOML", describe(error, source))
            }
            return if (result.hasErrors()) null else TomlDocument(source.path, result, findings)
        }

        /** Message of the parser; withheld if the line may hold a secret, which it would quote. */
        private fun describe(error: TomlParseError, source: SourceFile): String {
            val line = source.text.lines().getOrNull(error.position().line() - 1).orEmpty()
            return if ("token" in line) "text that is not shown" else error.message.orEmpty()
        }
    }
}

/** Reads the keys of one table as its [spec] describes them; faults go to the collector. */
internal class TableReader(
    private val spec: TableSpec,
    private val table: TomlTable,
    val location: SourceLocation,
    private val findings: FindingCollector
) {
    /**
     * The value of [key], its default if it is absent, or null.
     *
     * Returns null for a wrong value or an absent required key, and reports both. Also returns null
     * for an absent optional key without default.
     */
    fun <T : Any> read(key: KeySpec<T>): T? {
        val value = table.value(key.name)
        if (value == null) {
            if (key.required) report(key, key.rule.expected, "nothing")
            return key.default
        }
        val parsed = key.rule.parse(value)
        if (parsed == null) report(key, key.rule.expected, key.rule.describe(value))
        return parsed
    }

    /** The value of [key] with its location; null as in [read]. */
    fun <T : Any> locate(key: KeySpec<T>): Located<T>? =
        read(key)?.let { Located(it, location(key)) }

    /** Whether [key] is written in the file. */
    fun has(key: KeySpec<*>): Boolean = table.value(key.name) != null

    /** Location of [key], or of the table if the key is absent. */
    fun location(key: KeySpec<*>): SourceLocation =
        if (has(key)) SourceLocation(location.file, table.position(key.name)) else location

    /** Reports a fault at [key]. */
    fun report(key: KeySpec<*>, expected: String, found: String): Unit =
        findings.report(location(key), spec.path(key.name), expected, found)
}

private class UnknownName(val location: SourceLocation, val path: String)

private fun reportUnknown(
    table: TomlTable,
    known: List<String>,
    findings: FindingCollector,
    locate: (String) -> UnknownName
) {
    for (name in table.keySet() - known.toSet()) {
        val unknown = locate(name)
        val expected = nearest(name, known)?.let { "\"$it\"" }
            ?: "one of ${known.joinToString(", ")}"
        findings.report(unknown.location, unknown.path, expected, "an unknown name")
    }
}

private fun TomlTable.value(name: String): Any? = get(listOf(name))

private fun TomlTable.position(name: String): TomlPosition? = inputPositionOf(listOf(name))

private fun kindOf(value: Any): String = when (value) {
    is TomlTable -> "a table"
    is TomlArray -> kindOf(value)
    else -> "a single value"
}

private fun kindOf(array: TomlArray): String = when {
    array.isEmpty -> "an empty array"
    array.toList().all { it is TomlTable } -> "an array of tables"
    else -> "an array of values"
}
