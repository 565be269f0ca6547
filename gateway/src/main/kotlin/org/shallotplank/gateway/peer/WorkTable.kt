package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.work.LengthMoments
import org.shallotplank.core.work.ReportedWork
import org.shallotplank.core.work.UpstreamWork
import org.shallotplank.gateway.store.StoreRow

/**
 * The table of the lengths that this entry observed and of the work that its requests have left.
 *
 * While work-based routing is not in effect, the table changes only as often as the number of
 * observed lengths doubles, so that it hardly adds to what entries exchange.
 *
 * @param work what this entry reports now, null while there is nothing to report.
 * @param onLearned called with what another entry reported.
 */
internal fun workTable(
    own: InstanceId,
    clock: Clock,
    work: () -> ReportedWork?,
    onLearned: (GatewayEvent.WorkLearned) -> Unit,
    log: (LogRecord) -> Unit
): PeerTable {
    val versions = WorkVersions()
    fun learn(rows: List<StoreRow>, readAt: Instant) = rows
        .mapNotNull { decode(it, readAt, log) }
        .filter { it.entry != own }
        .forEach(onLearned)
    return PeerTable(
        name = WORK,
        version = { versions.versionOf(work(), clock.now()) },
        rows = { listOfNotNull(work()?.let { encode(own, it, clock.now()) }) },
        learn = { learn(it, clock.now()) },
        learnFrom = { learn(it.rows, it.readAt) }
    )
}

/** Counts the changes of the table that other entries should learn. */
private class WorkVersions {
    private var version = 0L
    private var observed = 0L
    private var changedAt = Instant.DISTANT_PAST

    fun versionOf(work: ReportedWork?, now: Instant): Long? {
        val current = work?.lengths?.values?.sumOf { it.observed } ?: 0
        val areLengthsNew = current >= maxOf(MIN_OBSERVED, observed * 2)
        val isWorkNew = work?.upstreams?.isNotEmpty() == true && now - changedAt >= REFRESH_INTERVAL
        if (areLengthsNew || isWorkNew) {
            version++
            observed = current
            changedAt = now
        }
        return version.takeIf { it > 0 }
    }

    private companion object {
        /** Fewer lengths are not worth a message. */
        const val MIN_OBSERVED = 10L

        /** Half of the time after which a report is out of date. */
        val REFRESH_INTERVAL = 1.seconds
    }
}

private fun encode(own: InstanceId, work: ReportedWork, now: Instant): RowCopy {
    val row = WorkRow(
        entry = own.value,
        ageMillis = (now - work.reportedAt).inWholeMilliseconds,
        lengths = work.lengths.map { (service, moments) ->
            LengthsRow(
                service = service.value,
                weight = moments.weight,
                sum = moments.sum,
                squares = moments.squares,
                observed = moments.observed
            )
        },
        upstreams = work.upstreams.map { (key, left) ->
            WorkLeftRow(
                id = key.id.value,
                incarnation = key.incarnation,
                requests = left.requests,
                leftMicros = left.timeLeft.inWholeMicroseconds,
                memoryTokens = left.memoryTokens.toLong()
            )
        }
    )
    return RowCopy(own.value, peerTableJson.encodeToString(row), version = 0)
}

private fun decode(
    row: StoreRow,
    readAt: Instant,
    log: (LogRecord) -> Unit
): GatewayEvent.WorkLearned? = try {
    val decoded = peerTableJson.decodeFromString<WorkRow>(row.value)
    val age = decoded.ageMillis.milliseconds.coerceAtLeast(Duration.ZERO)
    GatewayEvent.WorkLearned(
        InstanceId(decoded.entry),
        ReportedWork(
            reportedAt = readAt - age,
            lengths = decoded.lengths.associate {
                ServiceName(it.service) to
                    LengthMoments(it.weight, it.sum, it.squares, it.observed)
            }.toPersistentMap(),
            upstreams = decoded.upstreams.associate {
                UpstreamKey(InstanceId(it.id), it.incarnation) to UpstreamWork(
                    requests = it.requests.coerceAtLeast(0),
                    timeLeft = it.leftMicros.coerceAtLeast(0).microseconds,
                    memoryTokens = it.memoryTokens.coerceAtLeast(0).toDouble()
                )
            }.toPersistentMap()
        )
    )
} catch (e: IllegalArgumentException) {
    // Also thrown for malformed JSON, as its subclass SerializationException.
    log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to WORK, "detail" to e.message))
    null
}

/** What [entry] reported [ageMillis] ago, since processes have different monotonic clocks. */
@Serializable
private class WorkRow(
    val entry: String,
    val ageMillis: Long,
    val lengths: List<LengthsRow> = emptyList(),
    val upstreams: List<WorkLeftRow> = emptyList()
)

@Serializable
private class LengthsRow(
    val service: String,
    val weight: Double,
    val sum: Double,
    val squares: Double,
    val observed: Long
)

@Serializable
private class WorkLeftRow(
    val id: String,
    val incarnation: Long,
    val requests: Int,
    val leftMicros: Long,
    val memoryTokens: Long
)

/** Name of the table of work. */
internal const val WORK = "work"
