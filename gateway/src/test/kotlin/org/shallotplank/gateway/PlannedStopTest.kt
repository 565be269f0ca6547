package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against requests that end without an answer when an entry stops as planned. */
class PlannedStopTest {
    private val release = CountDownLatch(1)
    private val upstream = ScriptedUpstream { request, socket, _ ->
        release.await()
        socket.send(answer(request))
    }
    private val entry = GatewayProcessFixture(upstream.address, TestTables()).apply { start() }

    @AfterTest
    fun close() {
        release.countDown()
        upstream.close()
    }

    private fun stop(): Thread = thread { entry.process.stop() }

    /** The status line that the caller has received when the process ends; empty if none. */
    private fun Socket.statusAtEnd(stopping: Thread): String {
        stopping.join()
        soTimeout = POLL_MILLIS.toInt()
        return runCatching { getInputStream().bufferedReader().readLine() }.getOrNull().orEmpty()
    }

    @Nested
    inner class ARequestThatRunsAtTheEndOfTheGrace {
        @Test
        fun `is answered as one that may have run`() {
            entry.connect().use { caller ->
                caller.send(request("unsafe"))
                while (upstream.requests.isEmpty()) Thread.sleep(POLL_MILLIS)
                assertEquals("HTTP/1.1 502 Bad Gateway", caller.statusAtEnd(stop()))
            }
        }
    }

    @Nested
    inner class ARequestThatArrivesLateInTheGrace {
        @Test
        fun `is refused unrun if it could outlast the grace`() {
            entry.connect().use { caller ->
                val text = request("unsafe")
                caller.send(text.take(HALF))
                Thread.sleep(POLL_MILLIS)
                val stopping = stop()
                Thread.sleep(LATE_MILLIS)
                caller.send(text.drop(HALF))
                val status = caller.statusAtEnd(stopping)
                assertEquals("HTTP/1.1 503 Service Unavailable", status)
                assertTrue(upstream.requests.isEmpty())
            }
        }
    }

    private companion object {
        const val POLL_MILLIS = 20L

        /** After the stop was announced and before the end of the grace. */
        const val LATE_MILLIS = 1_100L
        const val HALF = 40
    }
}
