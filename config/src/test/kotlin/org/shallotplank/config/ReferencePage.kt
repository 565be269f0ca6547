package org.shallotplank.config

/** Builds the reference page [title] of [specs] from their key tables. */
internal fun referencePage(title: String, introduction: String, specs: List<FileSpec>): String =
    buildString {
        appendLine("# $title")
        appendLine()
        appendLine(
            "<!-- Generated from the key tables in the config module; see CONTRIBUTING.md. -->"
        )
        appendLine()
        appendLine(introduction.trim())
        for (spec in specs) appendFile(spec)
    }

private fun StringBuilder.appendFile(spec: FileSpec) {
    appendLine()
    appendLine("## ${spec.title.replaceFirstChar { it.uppercase() }}")
    for (table in spec.tables) {
        appendLine()
        if (table.shape != TableShape.ROOT) {
            appendLine("### `${header(table)}`")
            appendLine()
        }
        appendLine("${table.doc} ${shapeNote(table)}".trim())
        for (key in table.keys) appendKey(table, key)
    }
}

private fun header(table: TableSpec): String =
    if (table.shape == TableShape.REPEATED) "[[${table.name}]]" else "[${table.name}]"

private fun shapeNote(table: TableSpec): String = when (table.shape) {
    TableShape.ROOT -> "The keys stand at the top of the file, outside any table."
    TableShape.REPEATED -> "One or more."
    TableShape.OPTIONAL -> "May be left out."
    TableShape.SINGLE -> if (table.keys.any { it.required }) "Required." else "May be left out."
}

private fun StringBuilder.appendKey(table: TableSpec, key: KeySpec<*>) {
    val path = table.path(key.name)
    val found = key.rule.describe(key.rule.wrongExample)
    appendLine()
    appendLine("#### `$path`")
    appendLine()
    appendLine(key.doc)
    appendLine()
    appendLine("- Type: ${key.rule.type}${key.rule.unit?.let { ", unit: $it" }.orEmpty()}")
    appendLine("- Default: ${key.printedDefault?.let { "`$it`" } ?: "none, the key is required"}")
    appendLine("- Allowed: ${key.rule.expected}")
    appendLine(
        "- A wrong value prints: `FILE:LINE: $path: expected ${key.rule.expected}, found $found`"
    )
}
