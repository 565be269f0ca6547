package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.RowChange
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

/** A store of one table with conditional writes, which are visible in [replica] at once. */
internal class SingleTableStore : MetadataStore {
    val replica = TableReplica().apply {
        replace(TableContents(emptyList(), StoreRevision(era = 1, version = 0)))
    }

    val keys: List<String> get() = replica.rows.map { it.key }

    /** Removes the row with [key]. */
    fun remove(key: String) {
        val next = replica.revision.copy(version = replica.revision.version + 1)
        replica.apply(TableChanges(listOf(RowChange.Removed(key)), next))
    }

    /** The table as of now. */
    fun copy(): TableContents = TableContents(replica.rows.toList(), replica.revision)

    /** Returns to [copy] in a new era. */
    fun restore(copy: TableContents) {
        val revision = StoreRevision(replica.revision.era + 1, copy.revision.version)
        replica.replace(TableContents(copy.rows, revision))
    }

    override suspend fun read(table: String): Either<StoreFailure, TableContents> =
        StoreFailure.HistoryGone.left()

    override suspend fun changes(
        table: String,
        since: StoreRevision,
        wait: Duration
    ): Either<StoreFailure, TableChanges> = StoreFailure.HistoryGone.left()

    override suspend fun write(
        table: String,
        key: String,
        value: String,
        expected: StoreRevision
    ): Either<StoreFailure, StoreRevision> {
        if (replica.revisionOf(key) != expected) return StoreFailure.Conflict.left()
        val next = replica.revision.copy(version = replica.revision.version + 1)
        val row = StoreRow(key, value, next.version)
        replica.apply(TableChanges(listOf(RowChange.Written(row)), next))
        return next.right()
    }

    override suspend fun delete(
        table: String,
        key: String,
        expected: StoreRevision
    ): Either<StoreFailure, Unit> = StoreFailure.HistoryGone.left()
}
