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
    private val tables = SharedTables().apply { put(TestTables.UPSTREAMS, "u", "{}") }
    private var incarnation = 0L
    private val upstreams = mutableListOf<ScriptedUpstream>()

    @AfterTest
    fun close() = upstreams.forEach { it.close() }

    /** An upstream that goes down with the first request. */
    private fun crashing(): ScriptedUpstream {
        lateinit var upstream: ScriptedUpstream
        upstream = ScriptedUpstream { _, socket, _ ->
            upstream.close()
            socket.reset()
        }
        return upstream.also { upstreams += it }
    }

    /** Answer of an entry that has just started, in front of [upstream], and that then stops. */
    private fun answerOfNewEntry(upstream: ScriptedUpstream): String {
        val entry = GatewayProcessFixture(
            upstream = upstream.address,
            tables = tables,
            stopGrace = 1.seconds,
            incarnation = ++incarnation
        )
        entry.start()
        val deadline = Clock.System.now() + 10.seconds
        while (!entry.isReady()) assertTrue(Clock.System.now() < deadline)
        val answer = entry.statusOfRequest()
        Thread.sleep(SETTLING_MILLIS)
        entry.process.stop()
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

    private companion object {
        const val BAD_GATEWAY = "HTTP/1.1 502 Bad Gateway"
        const val UNAVAILABLE = "HTTP/1.1 503 Service Unavailable"

        /** Time for the check whether the upstream is up. */
        const val SETTLING_MILLIS = 500L
    }
}
