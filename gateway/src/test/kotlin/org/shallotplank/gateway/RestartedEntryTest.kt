package org.shallotplank.gateway

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against requests that crash more upstreams after each end of all processes (BUDGET). */
class RestartedEntryTest {
    private val tables = SharedTables()
    private var incarnation = 0L
    private val upstreams = mutableListOf<ScriptedUpstream>()

    @AfterTest
    fun close() = upstreams.forEach { it.close() }

    /** An upstream that goes down with the first request. */
    private fun crashing(): ScriptedUpstream {
        lateinit var upstream: ScriptedUpstream
        upstream = ScriptedUpstream { _, socket, _ ->
            upstream.stopListening()
            socket.reset()
        }
        return upstream.also { upstreams += it }
    }

    /** Answer of an entry that has just started, in front of [upstream], and that then stops. */
    private fun answerOfNewEntry(
        upstream: ScriptedUpstream,
        request: String = request("unsafe"),
        id: String = "u$incarnation"
    ): String {
        incarnation++
        tables.put(TestTables.UPSTREAMS, id, "{}")
        val entry = GatewayProcessFixture(
            upstream = upstream.address,
            tables = tables,
            stopGrace = 1.seconds,
            incarnation = incarnation
        )
        entry.start()
        val deadline = Clock.System.now() + 10.seconds
        while (!entry.isReady()) assertTrue(Clock.System.now() < deadline)
        val answer = entry.statusOfRequest(request)
        Thread.sleep(SETTLING_MILLIS)
        entry.process.stop()
        tables.remove(TestTables.UPSTREAMS, id)
        return answer
    }

    @Nested
    inner class ARequestThatCrashedTwoUpstreams {
        @Test
        fun `is refused by an entry that never saw a crash`() {
            assertEquals(BAD_GATEWAY, answerOfNewEntry(crashing()))
            assertEquals(BAD_GATEWAY, answerOfNewEntry(crashing()))
            val third = crashing()
            assertEquals(UNAVAILABLE, answerOfNewEntry(third))
            assertTrue(third.requests.isEmpty())
        }
    }

    @Nested
    inner class APromptPartThatCrashedTwoUpstreams {
        private fun prompt(number: Int) =
            request("unsafe", extra = "X-Prompt: bad:10,own$number:5\r\n", body = "$number")

        @Test
        fun `is refused by an entry that never saw a crash`() {
            assertEquals(BAD_GATEWAY, answerOfNewEntry(crashing(), prompt(1)))
            assertEquals(BAD_GATEWAY, answerOfNewEntry(crashing(), prompt(2)))
            val third = crashing()
            assertEquals(UNAVAILABLE, answerOfNewEntry(third, prompt(3)))
            assertTrue(third.requests.isEmpty())
        }
    }

    /** Guards against requests that an upstream had asked not to get. */
    @Nested
    inner class AnUpstreamThatAnnounced {
        private fun assertRefusedInNextLife(announcement: String) {
            val upstream = ScriptedUpstream { request, socket, _ ->
                socket.send(
                    answer(request, extra = announcement, status = "503 Service Unavailable")
                )
            }.also { upstreams += it }
            answerOfNewEntry(upstream, id = "same")
            assertEquals(1, upstream.requests.size)
            assertEquals(UNAVAILABLE, answerOfNewEntry(upstream, id = "same"))
            assertEquals(1, upstream.requests.size)
        }

        @Test
        fun `that it leaves gets no request of an entry that started since`() =
            assertRefusedInNextLife("X-Leaving: 1\r\n")

        @Test
        fun `a pause gets no request of the entry until its end`() =
            assertRefusedInNextLife("Retry-After: 60\r\n")
    }

    private companion object {
        const val BAD_GATEWAY = "HTTP/1.1 502 Bad Gateway"
        const val UNAVAILABLE = "HTTP/1.1 503 Service Unavailable"

        /** Time for the check whether the upstream is up. */
        const val SETTLING_MILLIS = 500L
    }
}
