package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.gateway.store.StoreRow

/**
 * The table of crashes and the prompt parts that may have caused them.
 *
 * @param onLearned called with the crashes that another entry reports.
 */
internal fun promptCrashTable(
    clock: Clock,
    quarantine: () -> PartQuarantine,
    onLearned: (PersistentList<PromptCrash>) -> Unit,
    log: (LogRecord) -> Unit
) = PeerTable(
    name = PROMPT_CRASHES,
    version = { quarantine().revision.takeIf { it > 0 } },
    rows = { quarantine().reported.map { it.encode(clock) } },
    learn = { rows -> onLearned(rows.mapNotNull { decode(it, clock, log) }.toPersistentList()) }
)

private fun PromptCrash.encode(clock: Clock): RowCopy {
    val row = PromptCrashRow(
        ageMillis = (clock.now() - at).inWholeMilliseconds,
        parts = parts.map { it.value },
        establishedParts = establishedParts.map { it.value }
    )
    return RowCopy(upstream, peerTableJson.encodeToString(row), version = 0)
}

private fun decode(row: StoreRow, clock: Clock, log: (LogRecord) -> Unit): PromptCrash? = try {
    val decoded = peerTableJson.decodeFromString<PromptCrashRow>(row.value)
    PromptCrash(
        upstream = row.key,
        at = clock.now() - decoded.ageMillis.milliseconds,
        parts = decoded.parts.map(::PromptPart).toPersistentSet(),
        establishedParts = decoded.establishedParts.map(::PromptPart).toPersistentSet()
    )
} catch (e: SerializationException) {
    log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to PROMPT_CRASHES, "detail" to e.message))
    null
}

/** A crash as of [ageMillis] ago, since processes have different monotonic clocks. */
@Serializable
private class PromptCrashRow(
    val ageMillis: Long,
    val parts: List<String>,
    val establishedParts: List<String> = emptyList()
)

/** Name of the table of crashes. */
internal const val PROMPT_CRASHES = "prompt-crashes"
