package org.shallotplank.gateway.upstream

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun append(text: String): Int {
        val whole = splitter.append(Unpooled.wrappedBuffer(text.toByteArray()))
        return if (whole == null) 0 else splitter.contentEvents
    }

    /** Guards against answers that count as short because several events arrive at once. */
    @Test
    fun `each event with an id or data counts once`() {
        assertEquals(1, append("id: 1\ndata: a\ndata: b\n\n"))
        assertEquals(2, append("id: 2\r\ndata: a\r\n\r\ndata: b\n\n"))
        assertEquals(0, append(": comment\n\n"))
        assertEquals(0, append("data: c"))
        assertEquals(2, append("\n\n: comment\n\nid: 4\n\ndata: d"))
    }
}
