package org.shallotplank.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Splits the bytes of an event stream behind its last whole event.
 *
 * An event ends with an empty line. The rest is kept until more bytes come, so that a stream that
 * breaks off in the middle of an event can go on with that event from another upstream.
 */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Bytes behind the last whole event. */
    var partialEventBytes: Int = 0
        private set

    /** Id of the last whole event, null before the first one that has an id. */
    var lastEventId: String? = null
        private set

    /** Whether the events of the last [append] had an id or data, rather than comments only. */
    var hadContent: Boolean = false
        private set

    /** Takes in [bytes] and returns the whole events that are now known, or null. */
    fun append(bytes: ByteBuf): ByteBuf? {
        val added = bytes.readableBytes()
        val known = partialEventBytes
        if (known + added >
            buffer.size
        ) {
            buffer = buffer.copyOf(maxOf(known + added, buffer.size * 2))
        }
        bytes.readBytes(buffer, known, added)
        partialEventBytes = known + added
        // The empty line may have begun in the bytes before.
        val end = endOfLastEvent(from = (known - LONGEST_END + 1).coerceAtLeast(1))
        if (end == 0) return null
        noteContent(end)
        val whole = Unpooled.wrappedBuffer(buffer.copyOf(end))
        buffer.copyInto(
            buffer,
            destinationOffset = 0,
            startIndex = end,
            endIndex = partialEventBytes
        )
        partialEventBytes -= end
        return whole
    }

    /** Returns what is behind the last whole event and forgets it. */
    fun removePartialEvent(): ByteBuf {
        val left = Unpooled.wrappedBuffer(buffer.copyOf(partialEventBytes))
        partialEventBytes = 0
        return left
    }

    /** Position behind the last empty line that ends at [from] or later, 0 if there is none. */
    private fun endOfLastEvent(from: Int): Int {
        for (at in partialEventBytes - 1 downTo from) {
            if (buffer[at] != LINE_FEED) continue
            val before = if (buffer[at - 1] == CARRIAGE_RETURN) at - 2 else at - 1
            if (before >= 0 && buffer[before] == LINE_FEED) return at + 1
        }
        return 0
    }

    private fun noteContent(end: Int) {
        val lines = String(buffer, 0, end, Charsets.UTF_8).lineSequence()
        hadContent = lines.any { it.startsWith(ID_FIELD) || it.startsWith(DATA_FIELD) }
        lines.lastOrNull { it.startsWith(ID_FIELD) }
            ?.let { lastEventId = it.removePrefix(ID_FIELD).trim() }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data:"

        /** Most events are shorter; the buffer grows for others. */
        const val INITIAL_BYTES = 1_024

        /** Bytes of the end of an event, two line ends of two bytes each. */
        const val LONGEST_END = 4
    }
}
