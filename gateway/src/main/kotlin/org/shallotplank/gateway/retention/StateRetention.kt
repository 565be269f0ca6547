package org.shallotplank.gateway.retention

import arrow.core.Either
import arrow.core.right
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.SerializationException
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableReplica

/**
 * Retains in the store what has to hold after all processes have ended at once.
 *
 * Each entry writes one row, which no other entry writes, and reads those of all others. Each write
 * expects the revision that was read, so that a delayed write cannot overwrite a later one. What
 * changed while the store did not answer is written once it does; no request waits for a write.
 *
 * Not thread-safe; use it on the event loop only.
 *
 * @param table the table of the entries, which every entry follows.
 */
internal class StateRetention(
    instance: String,
    private val table: String,
    private val store: MetadataStore,
    private val clock: Clock,
    private val state: RetainedState,
    private val log: (LogRecord) -> Unit
) {
    private val ownKey = KEY_PREFIX + instance
    private val readValues = HashMap<String, String>()

    /** When the rows of other entries expire, by the store's clock. */
    private val expiresAtMillis = HashMap<String, Long>()
    private var urgency = WriteUrgency.NONE
    private var attemptedAt: Instant = Instant.DISTANT_PAST
    private var isWriting = false

    /** The last write that the store confirmed. */
    private var written: WrittenRow? = null

    /** Retains [record], which this entry observed. */
    fun add(record: CrashRecord): Unit = request(state.requests.add(record))

    /** Retains the crash of [upstream], in which this entry lost requests. */
    fun addPromptCrash(upstream: String): Unit = request(state.promptCrashes.add(upstream))

    /** Retains what [upstream] announced to this entry. */
    fun addNotice(upstream: UpstreamKey): Unit = request(state.notices.add(upstream, clock.now()))

    /** Reads the rows of [replica] that have changed. */
    fun read(replica: TableReplica) {
        val rows = (replica.rows + replica.lostRows).filter { it.key.startsWith(KEY_PREFIX) }
        for (gone in readValues.keys - rows.map { it.key }.toSet()) {
            readValues -= gone
            expiresAtMillis -= gone
            state.removeOther(gone)
        }
        for (row in rows) {
            if (readValues.put(row.key, row.value) != row.value) read(row)
        }
    }

    private fun read(row: StoreRow) {
        val content = decode(row) ?: return
        val times = times()
        if (row.key != ownKey) {
            content.expiresAtMillis?.let { expiresAtMillis[row.key] = it }
            request(state.readOther(row.key, content, times))
        } else if (row.value != written?.value) {
            state.readOwn(content, times, clock.now())
        }
    }

    /** Whether a write is due at [now], given the copy of the table in [replica]. */
    fun isDue(replica: TableReplica, now: Instant): Boolean {
        request(state.update(now))
        val elapsed = now - attemptedAt
        return when {
            isWriting || !replica.isRead || isAwaited(replica) -> false
            urgency == WriteUrgency.IMMEDIATE || isLost(replica) -> elapsed >= MIN_INTERVAL
            urgency == WriteUrgency.DEFERRED -> elapsed >= DEFERRED_INTERVAL
            else -> false
        }
    }

    /** Writes the own row, or deletes it if nothing is left to retain; one call at a time. */
    suspend fun write(replica: TableReplica) {
        if (isWriting) return
        isWriting = true
        attemptedAt = clock.now()
        val pending = maxOf(urgency, WriteUrgency.DEFERRED)
        urgency = WriteUrgency.NONE
        try {
            val outcome = writeOrDelete(replica)
            if (outcome.isLeft()) request(pending)
            log(
                logRecord(
                    LogEvent.GATEWAY_STATE_RETAINED,
                    "requests" to state.requests.records.size,
                    "prompt_crashes" to state.promptCrashes.crashes.size,
                    "notices" to state.notices.notices(clock.now()).size,
                    "failure" to outcome.leftOrNull()
                )
            )
        } finally {
            isWriting = false
        }
    }

    private suspend fun writeOrDelete(replica: TableReplica): Either<StoreFailure, Unit> {
        val expected = replica.revisionOf(ownKey)
        val now = clock.now()
        if (state.isEmpty(now)) {
            state.toRow(times(), now)
            written = null
            if (expected.version == 0L) return Unit.right()
            return store.delete(table, ownKey, expected)
        }
        val value = state.toRow(times(), now).encode()
        return store.write(table, ownKey, value, expected).map { written = WrittenRow(value, it) }
    }

    /** Deletes the rows of other entries in [replica] that retain nothing any more. */
    suspend fun deleteExpired(replica: TableReplica) {
        val nowMillis = times().toMillis(clock.now()) ?: return
        for (key in expiresAtMillis.filterValues { it <= nowMillis }.keys.toList()) {
            store.delete(table, key, replica.revisionOf(key))
        }
    }

    /** Whether the copy does not show the last write yet. */
    private fun isAwaited(replica: TableReplica): Boolean =
        written?.let { replica.revision < it.revision } ?: false

    /** Whether the store has lost the last write, such as when it was restored from a copy. */
    private fun isLost(replica: TableReplica): Boolean =
        written?.let { replica.row(ownKey)?.value != it.value } ?: false

    private fun request(wanted: WriteUrgency) {
        urgency = maxOf(urgency, wanted)
    }

    private fun times() = StoreTimes(clock.now(), store.clockOffset)

    private fun decode(row: StoreRow): RetainedRow? = try {
        RetainedRow.decode(row.value)
    } catch (e: SerializationException) {
        log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to row.key, "detail" to e.message))
        null
    }

    private class WrittenRow(val value: String, val revision: StoreRevision)

    internal companion object {
        /** Prefix of the keys of retained rows in the entry table. */
        const val KEY_PREFIX = "retained/"

        /** Bounds the writes of an entry whatever its callers do. */
        private val MIN_INTERVAL: Duration = 1.seconds

        /** Most requests that were lost in a crash are answered elsewhere within this time. */
        private val DEFERRED_INTERVAL: Duration = 5.seconds
    }
}
