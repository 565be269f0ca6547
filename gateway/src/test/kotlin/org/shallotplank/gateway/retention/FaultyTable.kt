package org.shallotplank.gateway.retention

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

/** A table of a store in memory that can be away, lose answers and be restored from a copy. */
internal class FaultyTable {
    /** Time since the start of the test. */
    var now: Duration = Duration.ZERO

    /** What the store's clock is ahead of [now]. */
    var clockShift: Duration = Duration.ZERO
    var isAway = false

    /** Whether writes are executed without an answer. */
    var losesAnswers = false
    var writeCount = 0
        private set

    var rows: Map<String, StoreRow> = emptyMap()
        private set
    private var revision = StoreRevision(era = 1, version = 0)

    /** The table as of now. */
    fun copy(): TableContents = TableContents(rows.values.toList(), revision)

    /** Returns to [copy] in a new era. */
    fun restore(copy: TableContents) {
        rows = copy.rows.associateBy { it.key }
        revision = StoreRevision(revision.era + 1, copy.revision.version)
    }

    /** The table as a process with [clock] uses it. */
    fun client(clock: Clock) = Client(clock)

    private fun write(
        key: String,
        value: String?,
        expected: StoreRevision
    ): Either<StoreFailure, StoreRevision> {
        if (isAway) return noAnswer
        writeCount++
        if (expected.era != revision.era || (rows[key]?.version ?: 0) != expected.version) {
            return StoreFailure.Conflict.left()
        }
        revision = revision.copy(version = revision.version + 1)
        rows = if (value == null) rows - key else rows + (key to row(key, value))
        return if (losesAnswers) noAnswer else revision.right()
    }

    private fun row(key: String, value: String) = StoreRow(key, value, revision.version)

    /** The client of one process, with its copy of the table. */
    inner class Client(private val clock: Clock) : MetadataStore {
        val replica = TableReplica()

        override var clockOffset: Duration? = null
            private set

        /** Brings [replica] up to date; returns whether the store answered with a change. */
        fun follow(): Boolean {
            if (isAway) return false
            clockOffset = Instant.fromEpochMilliseconds(0) + now + clockShift - clock.now()
            return replica.replace(copy())
        }

        override suspend fun read(table: String): Either<StoreFailure, TableContents> = noAnswer

        override suspend fun changes(
            table: String,
            since: StoreRevision,
            wait: Duration
        ): Either<StoreFailure, TableChanges> = noAnswer

        override suspend fun write(
            table: String,
            key: String,
            value: String,
            expected: StoreRevision
        ): Either<StoreFailure, StoreRevision> = write(key, value, expected)

        override suspend fun delete(
            table: String,
            key: String,
            expected: StoreRevision
        ): Either<StoreFailure, Unit> = write(key, null, expected).map { }
    }

    private companion object {
        val noAnswer = StoreFailure.NoAnswer("away").left()
    }
}
