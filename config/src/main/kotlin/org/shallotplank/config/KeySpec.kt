package org.shallotplank.config

import kotlinx.collections.immutable.PersistentList

/**
 * One key that a file may hold.
 *
 * The key tables drive both the checks and the reference pages, so a key is described only here.
 */
internal class KeySpec<T : Any>(
    val name: String,
    val rule: ValueRule<T>,
    /** What the key does; printed in the reference page. */
    val doc: String,
    /** Value if the key is absent; null if there is no default. */
    val default: T? = null,
    val required: Boolean = default == null
) {
    /** The default as the reference page prints it, or null. */
    val printedDefault: String? get() = default?.let(rule.print)
}

/** Form in which a table occurs in its file. */
internal enum class TableShape {
    /** The keys are at the top level of the file, outside any table. */
    ROOT,

    /** One table, which may be absent if none of its keys is required. */
    SINGLE,

    /** One table, which may be absent; its required keys apply only if it is present. */
    OPTIONAL,

    /** An array of one or more tables. */
    REPEATED
}

/** One table that a file may hold, with its keys. */
internal class TableSpec(
    val name: String,
    val shape: TableShape,
    val doc: String,
    val keys: PersistentList<KeySpec<*>>
) {
    /** Dotted path of [key] as findings and reference pages show it. */
    fun path(key: String): String = if (shape == TableShape.ROOT) key else "$name.$key"
}

/** One kind of file, recognised by its tables. */
internal class FileSpec(
    /** What the file is, such as "service file". */
    val title: String,
    val tables: PersistentList<TableSpec>
)
