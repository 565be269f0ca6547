package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.RowChange
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents

/** A store in memory that several entries on different threads use. */
internal class SharedTables : MetadataStore {
    private val history = ArrayList<Pair<String, RowChange>>()

    /** Calls for changes and reads so far, by the client that made them. */
    private val callsByClient = HashMap<String, Int>()

    /** Clients whose calls fail. */
    val cutOff: MutableSet<String> = ConcurrentHashMap.newKeySet()

    private val revision get() = StoreRevision(era = 1, version = history.size.toLong())

    @Synchronized
    fun put(table: String, key: String, value: String) {
        history += table to RowChange.Written(StoreRow(key, value, history.size + 1L))
    }

    @Synchronized
    fun remove(table: String, key: String) {
        history += table to RowChange.Removed(key)
    }

    @Synchronized
    fun calls(client: String): Int = callsByClient[client] ?: 0

    /** The store as [client] uses it, which counts its calls. */
    fun of(client: String): MetadataStore = object : MetadataStore by this {
        override suspend fun read(table: String): Either<StoreFailure, TableContents> {
            count(client)
            return if (client in cutOff) noAnswer else this@SharedTables.read(table)
        }

        override suspend fun changes(
            table: String,
            since: StoreRevision,
            wait: Duration
        ): Either<StoreFailure, TableChanges> {
            count(client)
            val changes = this@SharedTables.changes(table, since, wait)
            return if (client in cutOff) noAnswer else changes
        }
    }

    @Synchronized
    private fun count(client: String) {
        callsByClient.merge(client, 1, Int::plus)
    }

    @Synchronized
    private fun rows(table: String): Map<String, StoreRow> {
        val rows = LinkedHashMap<String, StoreRow>()
        for ((_, change) in history.filter { it.first == table }) {
            when (change) {
                is RowChange.Written -> rows[change.row.key] = change.row
                is RowChange.Removed -> rows -= change.key
            }
        }
        return rows
    }

    override suspend fun read(table: String): Either<StoreFailure, TableContents> =
        synchronized(this) { TableContents(rows(table).values.toList(), revision) }.right()

    override suspend fun changes(
        table: String,
        since: StoreRevision,
        wait: Duration
    ): Either<StoreFailure, TableChanges> {
        val end = Clock.System.now() + wait
        while (changesSince(table, since).inOrder.isEmpty() && Clock.System.now() < end) {
            delay(POLL_INTERVAL)
        }
        return changesSince(table, since).right()
    }

    @Synchronized
    private fun changesSince(table: String, since: StoreRevision) = TableChanges(
        history.drop(since.version.toInt()).filter { it.first == table }.map { it.second },
        revision
    )

    override suspend fun write(
        table: String,
        key: String,
        value: String,
        expected: StoreRevision
    ): Either<StoreFailure, StoreRevision> = synchronized(this) {
        if ((rows(table)[key]?.version ?: 0) != expected.version) {
            return StoreFailure.Conflict.left()
        }
        put(table, key, value)
        revision.right()
    }

    override suspend fun delete(
        table: String,
        key: String,
        expected: StoreRevision
    ): Either<StoreFailure, Unit> = synchronized(this) {
        if (rows(table)[key]?.version != expected.version) return StoreFailure.Conflict.left()
        remove(table, key)
        Unit.right()
    }

    private companion object {
        val noAnswer = StoreFailure.NoAnswer("cut off").left()
        val POLL_INTERVAL = 10.milliseconds
    }
}
