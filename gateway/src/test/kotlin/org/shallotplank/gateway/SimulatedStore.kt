package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
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

/** A store in virtual time that swallows the calls that are open while it [isSilent]. */
internal class SimulatedStore(private val now: () -> Duration) : MetadataStore {
    var isSilent = false
        set(value) {
            if (value && !field) silences++
            field = value
        }
    private var silences = 0
    private val history = ArrayList<Pair<String, RowChange>>()
    private val revision get() = StoreRevision(era = 1, version = history.size.toLong())

    fun put(table: String, key: String) {
        history += table to RowChange.Written(StoreRow(key, "{}", history.size + 1L))
    }

    fun remove(table: String, key: String) {
        history += table to RowChange.Removed(key)
    }

    override suspend fun read(table: String): Either<StoreFailure, TableContents> =
        answered(READ_TIMEOUT) {
            delay(LATENCY)
            val rows = LinkedHashMap<String, StoreRow>()
            for (change in changesSince(table, version = 0).inOrder) {
                when (change) {
                    is RowChange.Written -> rows[change.row.key] = change.row
                    is RowChange.Removed -> rows -= change.key
                }
            }
            TableContents(rows.values.toList(), revision)
        }

    override suspend fun changes(
        table: String,
        since: StoreRevision,
        wait: Duration
    ): Either<StoreFailure, TableChanges> = answered(wait + ANSWER_TIMEOUT) {
        val end = now() + wait
        delay(LATENCY)
        while (changesSince(table, since.version).inOrder.isEmpty() && now() < end) delay(LATENCY)
        changesSince(table, since.version)
    }

    private fun changesSince(table: String, version: Long) = TableChanges(
        history.drop(version.toInt()).filter { it.first == table }.map { it.second },
        revision
    )

    private suspend fun <T> answered(
        timeout: Duration,
        answer: suspend () -> T
    ): Either<StoreFailure, T> {
        val startedAt = now()
        val silencesBefore = silences
        if (!isSilent) {
            val result = answer()
            if (silences == silencesBefore) return result.right()
        }
        delay(startedAt + timeout - now())
        return StoreFailure.NoAnswer("timed_out").left()
    }

    override suspend fun write(
        table: String,
        key: String,
        value: String,
        expected: StoreRevision
    ): Either<StoreFailure, StoreRevision> = StoreFailure.Conflict.left()

    override suspend fun delete(
        table: String,
        key: String,
        expected: StoreRevision
    ): Either<StoreFailure, Unit> = StoreFailure.Conflict.left()

    private companion object {
        val LATENCY = 4.milliseconds

        /** As the client of the platform's store has them. */
        val ANSWER_TIMEOUT = 600.milliseconds
        val READ_TIMEOUT = 800.milliseconds
    }
}
