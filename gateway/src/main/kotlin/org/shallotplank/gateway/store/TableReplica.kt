package org.shallotplank.gateway.store

/**
 * A copy of one table whose revision never decreases.
 *
 * Revisions order all states of the table, from whichever process they come.
 */
public class TableReplica {
    private val rowsByKey = LinkedHashMap<String, StoreRow>()
    private val lostRowsByKey = LinkedHashMap<String, StoreRow>()

    /** Revision up to which the copy is complete; [StoreRevision.NONE] before the first read. */
    public var revision: StoreRevision = StoreRevision.NONE
        private set

    /** Whether the table has been read at least once. */
    public val isRead: Boolean get() = revision > StoreRevision.NONE

    /** The rows of the copy. */
    public val rows: Collection<StoreRow> get() = rowsByKey.values

    /**
     * Rows that the store lost when it was restored and that nobody has written or removed since.
     *
     * They are part of the state that the store had confirmed; see [forgetLostRows].
     */
    public val lostRows: Collection<StoreRow> get() = lostRowsByKey.values

    /** The row with [key], or null. */
    public fun row(key: String): StoreRow? = rowsByKey[key]

    /** Revision of the row with [key], with the version 0 if there is no such row. */
    public fun revisionOf(key: String): StoreRevision =
        StoreRevision(revision.era, rowsByKey[key]?.version ?: 0)

    /**
     * Replaces the copy by [contents] unless they are older; returns whether a row or the era
     * changed.
     */
    public fun replace(contents: TableContents): Boolean {
        if (contents.revision < revision) return false
        val isNewEra = contents.revision.era > revision.era
        if (isNewEra) lostRowsByKey += rowsByKey
        contents.rows.forEach { lostRowsByKey -= it.key }
        revision = contents.revision
        val isSame = contents.rows.size == rowsByKey.size &&
            contents.rows.all { rowsByKey[it.key] == it }
        if (isSame && !isNewEra) return false
        rowsByKey.clear()
        contents.rows.forEach { rowsByKey[it.key] = it }
        return true
    }

    /** Applies [changes] of the copy's era that are not older; returns whether a row changed. */
    public fun apply(changes: TableChanges): Boolean {
        if (changes.revision.era != revision.era || changes.revision < revision) return false
        revision = changes.revision
        var isChanged = false
        for (change in changes.inOrder) {
            if (apply(change)) isChanged = true
        }
        return isChanged
    }

    private fun apply(change: RowChange): Boolean = when (change) {
        is RowChange.Written -> write(change.row)
        is RowChange.Removed -> remove(change.key)
    }

    private fun write(row: StoreRow): Boolean {
        lostRowsByKey -= row.key
        if ((rowsByKey[row.key]?.version ?: -1) >= row.version) return false
        rowsByKey[row.key] = row
        return true
    }

    private fun remove(key: String): Boolean {
        val wasLost = lostRowsByKey.remove(key) != null
        return rowsByKey.remove(key) != null || wasLost
    }

    /** Forgets the [lostRows], whose writers have had the time to write them again. */
    public fun forgetLostRows(): Boolean {
        val hadLostRows = lostRowsByKey.isNotEmpty()
        lostRowsByKey.clear()
        return hadLostRows
    }
}
