package org.shallotplank.gateway

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.gateway.ListedUpstream
import org.shallotplank.core.gateway.UpstreamKey
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
 * outage; then the upstream is kept until [returnGrace] after the return, to register again. A
 * store that was restored may list upstreams as they were before they left; their departure holds
 * until their rows change, or until the store has kept the row of a removed one for [ROW_LIFETIME].
 */
internal class ObservedUpstreams(
    private val read: (StoreRow) -> Either<String, UpstreamRecord>,
    private val returnGrace: Duration,
    private val log: (LogRecord) -> Unit
) {
    private class ReadRow(val row: StoreRow, val record: UpstreamRecord?)

    private val readByKey = HashMap<String, ReadRow>()
    private val missing = HashMap<String, ListedUpstream>()
    private var era = 0L

    /** When each recent incarnation was last seen to leave, or was removed. */
    private val departedAt = HashMap<UpstreamKey, Instant>()

    /** Since when the row of a removed upstream has been back with a restored store. */
    private val restoredAt = HashMap<String, Instant>()

    /** Applies the rows of [replica]; the last outage of the store ended at [returnedAt]. */
    fun update(replica: TableReplica, returnedAt: Instant, now: Instant) {
        val isRestored = replica.revision.era > era
        era = replica.revision.era
        for (row in replica.rows) {
            val known = readByKey[row.key]
            if (known?.row == row) continue
            val record = readOrLog(row)
            val isOutdated = isRestored && record?.key in departedAt
            val applied = if (isOutdated) record?.departedSince(known?.record) else record
            readByKey[row.key] = ReadRow(row, applied)
            if (isOutdated && applied == null) restoredAt[row.key] = now else restoredAt -= row.key
        }
        val gone = readByKey.keys.filter { replica.row(it) == null }
        for (key in gone) {
            restoredAt -= key
            val record = readByKey.remove(key)?.record ?: continue
            val mayReturn = now - returnedAt < returnGrace
            if (mayReturn) {
                missing[key] = ListedUpstream(record, missingSince = returnedAt)
            } else {
                departedAt[record.key] = now
            }
        }
        missing.keys.removeAll { it in readByKey }
        recordDepartures(now)
    }

    private fun recordDepartures(now: Instant) {
        for (record in readByKey.values.mapNotNull { it.record }) {
            if (record.isLeaving) departedAt[record.key] = now else departedAt -= record.key
        }
        departedAt.values.removeAll { now - it > DEPARTURE_MEMORY }
    }

    /**
     * Ends what holds for a time after a return of the store; returns whether the list changed.
     *
     * @param returnedAt end of the last outage; upstreams that are missing since an earlier one
     *   have the whole grace again.
     * @param confirmedAt the copy of the table has all changes until then.
     */
    fun expire(
        now: Instant,
        returnedAt: Instant = Instant.DISTANT_PAST,
        confirmedAt: Instant = now
    ): Boolean {
        val isRestored = listRestored(now)
        return expireMissing(now, returnedAt, confirmedAt) || isRestored
    }

    /** Lists upstreams whose rows would have been removed again if they had not registered. */
    private fun listRestored(now: Instant): Boolean {
        val kept = restoredAt.filterValues { now - it >= ROW_LIFETIME }.keys
        for (key in kept) {
            val row = readByKey.getValue(key).row
            readByKey[key] = ReadRow(row, readOrLog(row))
        }
        return restoredAt.keys.removeAll(kept)
    }

    private fun expireMissing(now: Instant, returnedAt: Instant, confirmedAt: Instant): Boolean {
        val expired = missing.filterValues { entry ->
            val since = maxOf(returnedAt, entry.missingSince ?: Instant.DISTANT_PAST)
            confirmedAt - since >= returnGrace
        }
        expired.values.forEach { departedAt[it.record.key] = now }
        return missing.keys.removeAll(expired.keys)
    }

    /** The listed upstreams and the missing ones within their grace. */
    fun listed(): PersistentList<ListedUpstream> {
        val present = readByKey.values.mapNotNull { it.record }.map { ListedUpstream(it) }
        return (present + missing.values).toPersistentList()
    }

    /** The record of an upstream that has left since; null unless it is still [listed]. */
    private fun UpstreamRecord.departedSince(listed: UpstreamRecord?): UpstreamRecord? =
        copy(isLeaving = true).takeIf { key == listed?.key }

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

    private companion object {
        /** Longer than the age of any copy from which a store is restored. */
        val DEPARTURE_MEMORY = 60.seconds

        /** Longer than a store keeps the row of an upstream that does not write it again. */
        val ROW_LIFETIME = 10.seconds
    }
}
