package org.shallotplank.gateway.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
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
): PeerTable {
    val digest = CrashDigest()
    return PeerTable(
        name = PROMPT_CRASHES,
        version = { digest.of(quarantine()) },
        rows = { quarantine().reported.map { it.encode(clock) } },
        learn = { rows ->
            onLearned(rows.mapNotNull { decode(it, clock, log) }.toPersistentList())
        },
        sharing = TableSharing.DIGESTED
    )
}

/** Digest of the crashes that an entry reports; equal for equal crashes at all entries. */
private class CrashDigest {
    private var revision = 0L
    private var crashes: Map<String, PromptCrash> = emptyMap()
    private var digest: Long? = null

    fun of(quarantine: PartQuarantine): Long? {
        if (quarantine.revision != revision || quarantine.crashes !== crashes) {
            revision = quarantine.revision
            crashes = quarantine.crashes
            digest = quarantine.reported.takeIf { it.isNotEmpty() }?.let(::digestOf)
        }
        return digest
    }

    /** Leaves out when the crashes happened, which entries know only roughly. */
    private fun digestOf(reported: List<PromptCrash>): Long {
        val sha = MessageDigest.getInstance("SHA-256")
        fun add(values: List<String>) = values.forEach { value ->
            val bytes = value.toByteArray()
            sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
            sha.update(bytes)
        }
        for (crash in reported.sortedBy { it.upstream }) {
            add(listOf(crash.upstream, "${crash.parts.size}"))
            add(crash.parts.map { it.value }.sorted())
            add(crash.establishedParts.map { it.value }.sorted())
        }
        return (ByteBuffer.wrap(sha.digest()).getLong() and Long.MAX_VALUE) or DIGEST_BIT
    }
}

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

/** Set in digests, which equal entries share; earlier builds count versions up from 1. */
internal const val DIGEST_BIT = 1L shl 62

/** Name of the table of crashes. */
internal const val PROMPT_CRASHES = "prompt-crashes"
