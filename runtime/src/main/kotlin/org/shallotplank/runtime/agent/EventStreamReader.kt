package org.shallotplank.runtime.agent

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLineStrict
import java.io.IOException
import org.shallotplank.core.call.Payload

/** A server-sent event with its lines as sent, each ended by a line feed. */
internal data class StreamEvent(
    /** Event id, or 0 if the event has none. */
    val id: Long,
    /** Whether this is the `end` event, which marks the stream as complete. */
    val isLast: Boolean,
    val payload: Payload
)

/** Reads server-sent events from a byte stream. */
internal class EventStreamReader(private val channel: ByteReadChannel) {
    /**
     * Returns the next event, or null when the stream ends before an event is complete.
     *
     * Throws an IOException when the connection fails or an event is too large.
     */
    suspend fun next(): StreamEvent? {
        val text = StringBuilder()
        var id = 0L
        var isLast = false
        while (true) {
            val line = channel.readLineStrict(MAX_EVENT_CHARS.toLong()) ?: return null
            if (line.isEmpty() && text.isEmpty()) continue
            if (line.isEmpty()) break
            if (line.startsWith(ID_FIELD)) id = line.removePrefix(ID_FIELD).trim().toLong()
            if (line.startsWith(EVENT_FIELD)) isLast = line.removePrefix(EVENT_FIELD).trim() == END
            text.append(line).append('\n')
            if (text.length > MAX_EVENT_CHARS) throw IOException("server-sent event is too large")
        }
        text.append('\n')
        return StreamEvent(id, isLast, Payload(text.toString().encodeToByteArray()))
    }

    private companion object {
        const val ID_FIELD = "id:"
        const val EVENT_FIELD = "event:"
        const val END = "end"
        const val MAX_EVENT_CHARS = 256 * 1024
    }
}
