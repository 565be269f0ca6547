package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

/** A store of one table with conditional writes, which are visible in [replica] at once. */
internal class SingleTableStore : MetadataStore {
    val replica = TableReplica().apply { replace(TableContents(emptyList(), 0)) }

    val keys: List<String> get() = replica.rows.map { it.key }

    override suspend fun read(table: String): Either<StoreFailure, TableContents> =
        StoreFailure.HistoryGone.left()

    override suspend fun changes(
        table: String,
        since: Long,
        wait: Duration
    ): Either<StoreFailure, TableChanges> = StoreFailure.HistoryGone.left()

    override suspend fun write(
        table: String,
        key: String,
        value: String,
        expected: Long
    ): Either<StoreFailure, Unit> {
        if ((replica.row(key)?.version ?: 0) != expected) return StoreFailure.Conflict.left()
        val next = replica.version + 1
        replica.apply(TableChanges(listOf(StoreRow(key, value, next)), emptyList(), next))
        return Unit.right()
    }

    override suspend fun delete(
        table: String,
        key: String,
        expected: Long
    ): Either<StoreFailure, Unit> = StoreFailure.HistoryGone.left()
}
