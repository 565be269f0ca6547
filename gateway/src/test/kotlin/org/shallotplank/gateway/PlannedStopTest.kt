package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against requests that end without an answer when an entry stops as planned. */
class PlannedStopTest {
    private val release = CountDownLatch(1)
    private val upstream = ScriptedUpstream { request, socket, _ ->
        release.await()
        socket.send(answer(request))
    }

    private fun entry(stopGrace: Duration) =
        GatewayProcessFixture(upstream.address, TestTables(), stopGrace).apply { start() }

    @AfterTest
    fun close() {
        release.countDown()
        upstream.close()
    }

    private fun GatewayProcessFixture.stop(): Thread = thread { process.stop() }

    /** Waits until the entry has begun to stop; it answers no later than that it is not ready. */
    private fun GatewayProcessFixture.awaitStopBegun() {
        while (isReady()) Thread.sleep(POLL_MILLIS)
    }

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
            val entry = entry(stopGrace = 2.seconds)
            entry.connect().use { caller ->
                caller.send(request("unsafe"))
                while (upstream.requests.isEmpty()) Thread.sleep(POLL_MILLIS)
                assertEquals("HTTP/1.1 502 Bad Gateway", caller.statusAtEnd(entry.stop()))
            }
        }
    }

    @Nested
    inner class ARequestThatArrivesLateInTheGrace {
        @Test
        fun `is refused unrun if it could outlast the grace`() {
            val entry = entry(stopGrace = 8.seconds)
            entry.connect().use { running ->
                running.send(request("unsafe"))
                while (upstream.requests.isEmpty()) Thread.sleep(POLL_MILLIS)
                entry.connect().use { caller ->
                    val text = request("unsafe", body = "late")
                    caller.send(text.dropLast(1))
                    val stopping = entry.stop()
                    entry.awaitStopBegun()
                    Thread.sleep(ADMISSION_MILLIS)
                    caller.send(text.takeLast(1))
                    val status = caller.getInputStream().bufferedReader().readLine()
                    assertEquals("HTTP/1.1 503 Service Unavailable", status)
                    assertTrue(stopping.isAlive)
                    release.countDown()
                    assertEquals("HTTP/1.1 200 OK", running.statusAtEnd(stopping))
                }
            }
            assertEquals(1, upstream.requests.size)
        }
    }

    private companion object {
        const val POLL_MILLIS = 20L

        /** The time for which a stopping entry admits requests, and a tenth of a second more. */
        const val ADMISSION_MILLIS = 3_100L
    }
}
