package org.shallotplank.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Splits the bytes of an event stream after the last complete event.
 *
 * An event ends with an empty line. A partial event is buffered until more bytes arrive, so that a
 * stream that breaks off in the middle of an event can resume with that event at another upstream.
 */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)

    /** Number of buffered bytes after the last complete event. */
    var partialEventBytes: Int = 0
        private set

    /** Id of the last complete event that has one, null before the first such event. */
    var lastEventId: String? = null
        private set

    /** Number of events that [append] last returned with an id or data, not just comments. */
    var contentEvents: Int = 0
        private set

    /** Whether the events that [append] last returned had an id or data, not just comments. */
    val hadContent: Boolean get() = contentEvents > 0

    /** Appends [bytes] and returns all events that are now complete, null if there are none. */
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
        // The empty line may have begun in the bytes of an earlier call.
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

    /** Returns the bytes after the last complete event and removes them from the buffer. */
    fun removePartialEvent(): ByteBuf {
        val left = Unpooled.wrappedBuffer(buffer.copyOf(partialEventBytes))
        partialEventBytes = 0
        return left
    }

    /** Position after the last empty line that ends at [from] or later, 0 if there is none. */
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
        contentEvents = countContentEvents(lines)
        lines.lastOrNull { it.startsWith(ID_FIELD) }
            ?.let { lastEventId = it.removePrefix(ID_FIELD).trim() }
    }

    private fun countContentEvents(lines: Sequence<String>): Int {
        var count = 0
        var isCounted = false
        for (line in lines) {
            when {
                line.isEmpty() -> isCounted = false
                !isCounted && (line.startsWith(ID_FIELD) || line.startsWith(DATA_FIELD)) -> {
                    isCounted = true
                    count++
                }
            }
        }
        return count
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data:"

        /** Most events are shorter; the buffer grows for longer ones. */
        const val INITIAL_BYTES = 1_024

        /** Maximum length of the end of an event: two line ends of two bytes each. */
        const val LONGEST_END = 4
    }
}
