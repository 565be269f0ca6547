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
    private var rest: ByteArray = ByteArray(0)

    /** Id of the last whole event, null before the first one that has an id. */
    var lastEventId: String? = null
        private set

    /** Bytes behind the last whole event. */
    val restBytes: Int get() = rest.size

    /** Takes in [bytes] and returns the whole events that are now known, or null. */
    fun take(bytes: ByteBuf): ByteBuf? {
        val joined = ByteArray(rest.size + bytes.readableBytes())
        rest.copyInto(joined)
        bytes.readBytes(joined, rest.size, bytes.readableBytes())
        val end = endOfLastEvent(joined)
        if (end == 0) {
            rest = joined
            return null
        }
        noteIds(joined, end)
        rest = joined.copyOfRange(end, joined.size)
        return Unpooled.wrappedBuffer(joined, 0, end)
    }

    /** Returns what is behind the last whole event and forgets it. */
    fun takeRest(): ByteBuf {
        val left = Unpooled.wrappedBuffer(rest)
        rest = ByteArray(0)
        return left
    }

    /** Position behind the last empty line of [bytes], 0 if there is none. */
    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (at in bytes.lastIndex downTo 1) {
            if (bytes[at] != LINE_FEED) continue
            val before = if (bytes[at - 1] == CARRIAGE_RETURN) at - 2 else at - 1
            if (before >= 0 && bytes[before] == LINE_FEED) return at + 1
        }
        return 0
    }

    private fun noteIds(bytes: ByteArray, end: Int) {
        String(bytes, 0, end, Charsets.UTF_8).lineSequence()
            .lastOrNull { it.startsWith(ID_FIELD) }
            ?.let { lastEventId = it.removePrefix(ID_FIELD).trim() }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
