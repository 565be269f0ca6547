package org.shallotplank.gateway.store

/**
 * A copy of one table whose version never decreases.
 *
 * The store's version counter orders all states of the table, from whichever process they come.
 */
public class TableReplica {
    private val rowsByKey = LinkedHashMap<String, StoreRow>()

    /** Version of the store up to which the copy is complete; -1 before the first read. */
    public var version: Long = -1
        private set

    /** The rows of the copy. */
    public val rows: Collection<StoreRow> get() = rowsByKey.values

    /** The row with [key], or null. */
    public fun row(key: String): StoreRow? = rowsByKey[key]

    /** Replaces the copy by [contents] unless they are older; returns whether a row changed. */
    public fun replace(contents: TableContents): Boolean {
        if (contents.version < version) return false
        version = contents.version
        val isSame = contents.rows.size == rowsByKey.size &&
            contents.rows.all { rowsByKey[it.key]?.version == it.version }
        if (isSame) return false
        rowsByKey.clear()
        contents.rows.forEach { rowsByKey[it.key] = it }
        return true
    }

    /** Applies changes since the copy's version; returns whether a row changed. */
    public fun apply(changes: TableChanges): Boolean {
        if (changes.version < version) return false
        version = changes.version
        var isChanged = false
        for (row in changes.changed) {
            if ((rowsByKey[row.key]?.version ?: -1) >= row.version) continue
            rowsByKey[row.key] = row
            isChanged = true
        }
        for (key in changes.removedKeys) {
            if (rowsByKey.remove(key) != null) isChanged = true
        }
        return isChanged
    }
}
