package org.shallotplank.gateway

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.gateway.ListedUpstream
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableReplica

/**
 * The upstreams that the store lists, and those whose rows may have expired during its outage.
 *
 * An upstream whose row is missing is removed at once, unless the store has just returned from an
 * outage; then the upstream is kept until [returnGrace] after the return, to register again.
 */
internal class ObservedUpstreams(
    private val read: (StoreRow) -> Either<String, UpstreamRecord>,
    private val returnGrace: Duration,
    private val log: (LogRecord) -> Unit
) {
    private class ReadRow(val row: StoreRow, val record: UpstreamRecord?)

    private val readByKey = HashMap<String, ReadRow>()
    private val missing = HashMap<String, ListedUpstream>()

    /** Applies the rows of [replica]; the last outage of the store ended at [returnedAt]. */
    fun update(replica: TableReplica, returnedAt: Instant, now: Instant) {
        for (row in replica.rows) {
            if (readByKey[row.key]?.row == row) continue
            readByKey[row.key] = ReadRow(row, readOrLog(row))
        }
        val gone = readByKey.keys.filter { replica.row(it) == null }
        for (key in gone) {
            val record = readByKey.remove(key)?.record ?: continue
            val mayReturn = now - returnedAt < returnGrace
            if (mayReturn) missing[key] = ListedUpstream(record, missingSince = returnedAt)
        }
        missing.keys.removeAll { it in readByKey }
    }

    /** Removes missing upstreams whose grace is over; returns whether there were any. */
    fun expire(now: Instant): Boolean = missing.values.removeAll { entry ->
        entry.missingSince?.let { now - it >= returnGrace } ?: true
    }

    /** The listed upstreams and the missing ones within their grace. */
    fun listed(): PersistentList<ListedUpstream> {
        val present = readByKey.values.mapNotNull { it.record }.map { ListedUpstream(it) }
        return (present + missing.values).toPersistentList()
    }

    private fun readOrLog(row: StoreRow): UpstreamRecord? = read(row).fold(
        ifLeft = { detail ->
            val record = logRecord(
                LogEvent.STORE_ROW_UNREADABLE,
                "row" to row.key,
                "version" to row.version,
                "detail" to detail
            )
            log(record)
            null
        },
        ifRight = { it }
    )
}
