package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.store.StoreRow

/**
 * Exchanges crashes and the prompt parts that may have caused them with the other entries.
 *
 * An entry offers its crashes as one more table of its report: entries of builds that do not know
 * the table skip it, and reject reports with unknown fields. Others fetch the table only when its
 * version has changed.
 */
internal class PromptCrashExchange(
    private val clock: Clock,
    private val quarantine: () -> PartQuarantine,
    /** Called with the crashes that another entry reports. */
    private val onLearned: (PersistentList<PromptCrash>) -> Unit,
    private val log: (LogRecord) -> Unit
) {
    /** Version of the table, null while it is empty. */
    val version: Long? get() = quarantine().revision.takeIf { it > 0 }

    /** The table for other entries. */
    fun copy(): TableCopy {
        val now = clock.now()
        val rows = quarantine().reported.map { crash ->
            RowCopy(crash.upstream, json.encodeToString(crash.toRow(now)), version = 0)
        }
        return TableCopy(quarantine().revision, rows)
    }

    /** Fetches the table of the entry in [view] if it differs from the last one fetched. */
    suspend fun follow(view: PeerView, client: HttpClient) {
        val report = view.report ?: return
        val offered = report.tableVersions[TABLE]?.let { OfferedVersion(report.incarnation, it) }
        if (offered == null || offered == view.promptCrashesFetched) return
        val table = fetchTable(client, TABLE, TIMEOUT) ?: return
        view.promptCrashesFetched = offered
        learn(table.rows)
    }

    /** Learns the crashes in the [rows] of another entry's table. */
    fun learn(rows: List<StoreRow>): Unit = onLearned(rows.mapNotNull(::decode).toPersistentList())

    private fun PromptCrash.toRow(now: Instant) = PromptCrashRow(
        ageMillis = (now - at).inWholeMilliseconds,
        parts = parts.map { it.value },
        establishedParts = establishedParts.map { it.value }
    )

    private fun decode(row: StoreRow): PromptCrash? = try {
        val decoded = json.decodeFromString<PromptCrashRow>(row.value)
        PromptCrash(
            upstream = row.key,
            at = clock.now() - decoded.ageMillis.milliseconds,
            parts = decoded.parts.map(::PromptPart).toPersistentSet(),
            establishedParts = decoded.establishedParts.map(::PromptPart).toPersistentSet()
        )
    } catch (e: SerializationException) {
        log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to TABLE, "detail" to e.message))
        null
    }

    internal companion object {
        /** Name of the table, which the store does not have. */
        const val TABLE = "prompt-crashes"
        private val TIMEOUT = 1.seconds

        /** Later builds may add fields. */
        private val json = Json { ignoreUnknownKeys = true }
    }
}

/** A crash as of [ageMillis] ago, since processes have different monotonic clocks. */
@Serializable
private class PromptCrashRow(
    val ageMillis: Long,
    val parts: List<String>,
    val establishedParts: List<String> = emptyList()
)

/** Version of a table that one incarnation of an entry offers. */
internal data class OfferedVersion(val incarnation: Long, val version: Long)
