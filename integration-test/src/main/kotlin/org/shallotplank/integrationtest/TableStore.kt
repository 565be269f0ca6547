package org.shallotplank.integrationtest

import java.util.TreeMap
import kotlinx.serialization.Serializable

/** One row of the table; version 0 without a value means that the row is absent. */
@Serializable
internal data class TableItem(val key: String, val version: Long, val value: String? = null)

/** A write that takes effect only if the row has [expectedVersion]. */
@Serializable
internal data class ConditionalWrite(val key: String, val expectedVersion: Long, val value: String)

/** Outcome of a transaction. */
internal sealed interface CommitResult {
    /** All writes took effect; [items] are the new rows in the order of the writes. */
    data class Committed(val items: List<TableItem>) : CommitResult

    /** No write took effect; [items] are the rows whose version differed. */
    data class Conflict(val items: List<TableItem>) : CommitResult
}

/** In-memory transactional table with a version per row. */
internal class TableStore {
    private val rows = TreeMap<String, TableItem>()

    /** Returns the row of [key]. */
    @Synchronized
    fun read(key: String): TableItem = rows[key] ?: TableItem(key, version = 0)

    /** Returns up to [limit] rows whose key starts with [prefix], ordered by key. */
    @Synchronized
    fun list(prefix: String, limit: Int): List<TableItem> =
        rows.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }.take(limit)

    /** Applies either all [writes] or none. */
    @Synchronized
    fun commit(writes: List<ConditionalWrite>): CommitResult {
        val conflicts = writes.filter { read(it.key).version != it.expectedVersion }
        if (conflicts.isNotEmpty()) return CommitResult.Conflict(conflicts.map { read(it.key) })
        val items = writes.map { TableItem(it.key, it.expectedVersion + 1, it.value) }
        items.forEach { rows[it.key] = it }
        return CommitResult.Committed(items)
    }
}
