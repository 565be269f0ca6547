package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents

/** A store whose [rowsByTable] change only when it is restored; writes have no effect. */
internal class TestTables(
    @Volatile private var rowsByTable: Map<String, List<StoreRow>> =
        mapOf(UPSTREAMS to listOf(StoreRow("u", "{}", 1)))
) : MetadataStore {
    @Volatile
    private var revision = StoreRevision(era = 1, version = 1)

    /** Returns to a copy with [rows] in a new era. */
    fun restore(rows: Map<String, List<StoreRow>>) {
        rowsByTable = rows
        revision = StoreRevision(revision.era + 1, version = 1)
    }

    override suspend fun read(table: String): Either<StoreFailure, TableContents> =
        TableContents(rowsByTable[table].orEmpty(), revision).right()

    override suspend fun changes(
        table: String,
        since: StoreRevision,
        wait: Duration
    ): Either<StoreFailure, TableChanges> {
        val end = Clock.System.now() + wait
        while (revision == since && Clock.System.now() < end) delay(POLL_INTERVAL)
        if (revision != since) return StoreFailure.HistoryGone.left()
        return TableChanges(emptyList(), since).right()
    }

    override suspend fun write(
        table: String,
        key: String,
        value: String,
        expected: StoreRevision
    ): Either<StoreFailure, StoreRevision> = revision.right()

    override suspend fun delete(
        table: String,
        key: String,
        expected: StoreRevision
    ): Either<StoreFailure, Unit> = Unit.right()

    internal companion object {
        const val OPERATORS = "operators"
        const val UPSTREAMS = "upstreams"
        const val ENTRIES = "entries"
        private val POLL_INTERVAL = 10.milliseconds
    }
}
