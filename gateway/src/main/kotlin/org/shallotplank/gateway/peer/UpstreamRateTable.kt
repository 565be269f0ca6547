package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.ObservedRate
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.store.StoreRow

/**
 * The table of limits that upstreams named in their answers, and of those that they lifted.
 *
 * @param rates the limits that this entry has observed or learned.
 * @param onLearned called with what another entry knows.
 */
internal fun upstreamRateTable(
    clock: Clock,
    rates: () -> Map<UpstreamKey, ObservedRate>,
    onLearned: (PersistentMap<UpstreamKey, ObservedRate>) -> Unit,
    log: (LogRecord) -> Unit
): PeerTable {
    val versions = RateVersions()
    return PeerTable(
        name = UPSTREAM_RATES,
        version = { versions.versionOf(rates()) },
        rows = { rates().map { (upstream, rate) -> encode(upstream, rate, clock) } },
        learn = { rows ->
            onLearned(rows.mapNotNull { decode(it, clock, log) }.toMap().toPersistentMap())
        },
        sharing = TableSharing.ACCUMULATED
    )
}

/** Counts the changes of the table that other entries should learn. */
private class RateVersions {
    private var version = 0L
    private var last = emptyMap<UpstreamKey, ObservedRate>()

    fun versionOf(rates: Map<UpstreamKey, ObservedRate>): Long? {
        val isChanged = rates.size != last.size ||
            rates.any { (upstream, rate) ->
                val known = last[upstream]
                known == null ||
                    known.requestsPerSecond != rate.requestsPerSecond ||
                    rate.observedAt - known.observedAt >= REFRESH_INTERVAL
            }
        if (isChanged) {
            version++
            last = rates
        }
        return version.takeIf { it > 0 }
    }

    private companion object {
        /** Short relative to the time after which what was observed of a limit is out of date. */
        val REFRESH_INTERVAL = 2.seconds
    }
}

private fun encode(upstream: UpstreamKey, rate: ObservedRate, clock: Clock): RowCopy {
    val row = UpstreamRateRow(
        id = upstream.id.value,
        incarnation = upstream.incarnation,
        requestsPerSecond = rate.requestsPerSecond,
        ageMillis = (clock.now() - rate.observedAt).inWholeMilliseconds
    )
    return RowCopy(upstream.toString(), peerTableJson.encodeToString(row), version = 0)
}

private fun decode(
    row: StoreRow,
    clock: Clock,
    log: (LogRecord) -> Unit
): Pair<UpstreamKey, ObservedRate>? = try {
    val decoded = peerTableJson.decodeFromString<UpstreamRateRow>(row.value)
    val observedAt = clock.now() - decoded.ageMillis.milliseconds
    UpstreamKey(InstanceId(decoded.id), decoded.incarnation) to
        ObservedRate(decoded.requestsPerSecond, observedAt)
} catch (e: SerializationException) {
    log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to UPSTREAM_RATES, "detail" to e.message))
    null
}

/** What an upstream announced [ageMillis] ago, since processes have different monotonic clocks. */
@Serializable
private class UpstreamRateRow(
    val id: String,
    val incarnation: Long,
    val requestsPerSecond: Double?,
    val ageMillis: Long
)

/** Name of the table of limits. */
internal const val UPSTREAM_RATES = "upstream-rates"
