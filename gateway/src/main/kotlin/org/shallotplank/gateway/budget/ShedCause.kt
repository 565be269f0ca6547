package org.shallotplank.gateway.budget

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord

/** Why a connection was closed or refused to bound what callers and other processes hold. */
public enum class ShedCause {
    MEMORY,
    CONNECTIONS,
    SLOW_SENDER,
    SLOW_READER,
    PIPELINED,
    FIELDS,

    /** A message of the store, an engine or another entry found no room. */
    MESSAGES
}

/** Counts by cause and logs the counts in one line per second at most. */
internal class ShedLog(
    private val count: (ShedCause) -> Unit,
    private val log: (LogRecord) -> Unit,
    private val heldBytes: () -> Long
) {
    private val counts = IntArray(ShedCause.entries.size)
    private var writtenAt: Instant? = null

    /** Counts a connection that was closed or refused. */
    fun add(cause: ShedCause) {
        counts[cause.ordinal]++
        count(cause)
    }

    /** Writes what was counted since the last line, at most once a second. */
    fun write(now: Instant) {
        if (counts.all { it == 0 }) return
        if (writtenAt?.let { now - it < LINE_INTERVAL } == true) return
        writtenAt = now
        val causes = ShedCause.entries.filter { counts[it.ordinal] > 0 }
            .joinToString(",") { "${it.name.lowercase()}:${counts[it.ordinal]}" }
        counts.fill(0)
        log(logRecord(LogEvent.CALLERS_SHED, "causes" to causes, "held_bytes" to heldBytes()))
    }

    private companion object {
        val LINE_INTERVAL = 1.seconds
    }
}
