package org.shallotplank.runtime

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.execution.ExecutionRecord
import org.shallotplank.core.execution.ReadOutcome
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.execution.WriteOutcome
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.runtime.platform.TableItem
import org.shallotplank.runtime.platform.TableRead
import org.shallotplank.runtime.platform.TableWrite

/**
 * Stores execution records as JSON in the platform's table.
 *
 * A record that cannot be decoded is treated like an unanswered call to the table, so that no
 * request is run because of it.
 */
internal class ExecutionRecordStore(private val platform: PlatformPorts) {
    /** Reads the record of [key]. */
    suspend fun read(key: RecordKey): ReadOutcome = when (val read = platform.readItem(key.value)) {
        TableRead.Unavailable -> ReadOutcome.Unavailable
        is TableRead.Found -> found(read)
    }

    /** Writes [record] if the table still holds [expectedVersion] of [key]. */
    suspend fun write(
        key: RecordKey,
        expectedVersion: Long,
        record: ExecutionRecord
    ): WriteOutcome {
        val item = TableItem(key.value, expectedVersion, json.encodeToString(record))
        return when (val written = platform.writeItem(item)) {
            is TableWrite.Written -> WriteOutcome.Written(written.version)
            is TableWrite.Conflict -> conflict(written)
            TableWrite.Unknown -> WriteOutcome.Unknown
        }
    }

    private fun found(read: TableRead.Found): ReadOutcome {
        val text = read.value ?: return ReadOutcome.Found(read.version, record = null)
        val record = decode(text) ?: return ReadOutcome.Unavailable
        return ReadOutcome.Found(read.version, record)
    }

    private fun conflict(conflict: TableWrite.Conflict): WriteOutcome {
        val text = conflict.value ?: return WriteOutcome.Conflict(conflict.version, null)
        val record = decode(text) ?: return WriteOutcome.Unknown
        return WriteOutcome.Conflict(conflict.version, record)
    }

    private fun decode(text: String): ExecutionRecord? = try {
        json.decodeFromString<ExecutionRecord>(text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
