package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.WaitingRequests
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.store.StoreRow

/**
 * The table of requests that wait at this entry, by service and priority.
 *
 * Each row names the entry, so that it does not matter through whom another entry got it. The age
 * of a row counts from when it was read at that entry, which hubs report.
 *
 * @param waiting the waiting requests of the services whose requests differ in priority.
 * @param onLearned called with what waits at another entry.
 */
internal fun waitingTable(
    own: InstanceId,
    clock: Clock,
    waiting: () -> Map<ServiceName, Map<Int, Int>>,
    onLearned: (GatewayEvent.WaitingLearned) -> Unit,
    log: (LogRecord) -> Unit
): PeerTable {
    val versions = WaitingVersions(clock)
    fun learn(rows: List<StoreRow>, readAt: Instant) = rows.mapNotNull { decode(it, log) }
        .groupBy { it.entry }
        .forEach { (entry, services) -> onLearned(learned(entry, services, readAt)) }
    return PeerTable(
        name = WAITING,
        version = { versions.versionOf(waiting()) },
        rows = { waiting().map { (service, counts) -> encode(own, service, counts) } },
        learn = { learn(it, clock.now()) },
        learnFrom = { learn(it.rows, it.readAt) }
    )
}

/** Counts the changes of the table; while requests wait, it also changes with time. */
private class WaitingVersions(private val clock: Clock) {
    private var version = 0L
    private var last = emptyMap<ServiceName, Map<Int, Int>>()
    private var changedAt = Instant.DISTANT_PAST

    fun versionOf(waiting: Map<ServiceName, Map<Int, Int>>): Long? {
        if (waiting.isEmpty()) return null
        val now = clock.now()
        val isOutdated = waiting.values.any { it.isNotEmpty() } &&
            now - changedAt >= REFRESH_INTERVAL
        if (waiting != last || isOutdated) {
            version++
            last = waiting
            changedAt = now
        }
        return version
    }

    private companion object {
        /** Less than the second from which a report counts less. */
        val REFRESH_INTERVAL = 400.milliseconds
    }
}

private fun encode(own: InstanceId, service: ServiceName, counts: Map<Int, Int>): RowCopy {
    val row = WaitingRow(own.value, service.value, counts, ageMillis = 0)
    return RowCopy("$own/$service", peerTableJson.encodeToString(row), version = 0)
}

private fun decode(row: StoreRow, log: (LogRecord) -> Unit): WaitingRow? = try {
    peerTableJson.decodeFromString<WaitingRow>(row.value)
} catch (e: SerializationException) {
    log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to WAITING, "detail" to e.message))
    null
}

private fun learned(entry: String, services: List<WaitingRow>, readAt: Instant) =
    GatewayEvent.WaitingLearned(
        entry = InstanceId(entry),
        waiting = services.associate { row ->
            val observedAt = readAt - row.ageMillis.milliseconds
            ServiceName(row.service) to
                WaitingRequests(row.byPriority.toPersistentMap(), observedAt)
        }.toPersistentMap()
    )

/** What waited [ageMillis] ago, since processes have different monotonic clocks. */
@Serializable
private class WaitingRow(
    val entry: String,
    val service: String,
    val byPriority: Map<Int, Int>,
    val ageMillis: Long
)

/** Name of the table of waiting requests. */
internal const val WAITING = "waiting"
