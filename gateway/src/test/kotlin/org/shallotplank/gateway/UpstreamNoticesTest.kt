package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.upstream.pauseOrNull

/** Upstreams that announce in answers over the network that they are leaving or need a pause. */
class UpstreamNoticesTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun upstream(respond: (ReadRequest, Socket, Int) -> Unit) =
        ScriptedUpstream(respond = respond).also { open += it }

    private fun answering(extra: String = "") =
        upstream { request, socket, _ -> socket.send(answer(request, extra = extra)) }

    private fun gateway(vararg upstreams: ScriptedUpstream) =
        GatewayFixture(upstreams.toList()).also { open += it }

    /** Asserts that [leaving] gets no request after its first answer, unlike a second upstream. */
    private fun assertLeftAlone(leaving: ScriptedUpstream, kind: String = "safe") {
        val sound = answering()
        val gateway = gateway(leaving, sound)
        while (leaving.requests.isEmpty()) gateway.exchange(request(kind))
        val seen = leaving.requests.size
        val before = sound.requests.size
        repeat(MORE_REQUESTS) { gateway.exchange(request(kind, attempt = "more$it")) }
        assertEquals(seen, leaving.requests.size)
        assertTrue(sound.requests.size >= before + MORE_REQUESTS)
    }

    @Nested
    inner class AnUpstreamThatLeaves {
        @Test
        fun `announces it in a complete answer`() =
            assertLeftAlone(answering("X-Leaving: 1\r\nKeep-Alive: timeout=9\r\n"))

        @Test
        fun `announces it in a refusal`() = assertLeftAlone(
            upstream { request, socket, _ ->
                val extra = "X-Not-Run: 1\r\nX-Leaving: 1\r\n"
                socket.send(answer(request, status = "503 Full", extra = extra))
            }
        )

        @Test
        fun `counts as leaving after a refusal, and not only as full for a moment`() {
            val leaving = upstream { request, socket, _ ->
                val extra = "X-Not-Run: 1\r\nX-Leaving: 1\r\n"
                socket.send(answer(request, status = "503 Full", extra = extra))
            }
            val gateway = gateway(leaving)
            gateway.exchange(request("safe"))
            assertTrue(gateway.state.notices.values.single().isLeaving)
        }

        @Test
        fun `announces it in the head of a stream`() = assertLeftAlone(
            upstream { request, socket, _ ->
                val head = streamHead(request).replace("X-Stamp", "X-Leaving: 1\r\nX-Stamp")
                socket.send(head + chunk("id: 1\ndata: a\n\n") + LAST_CHUNK)
            },
            kind = "stream"
        )

        @Test
        fun `announces it in an answer that is discarded as another request's`() = assertLeftAlone(
            upstream { request, socket, _ ->
                val other = answer(request, extra = "X-Leaving: 1\r\n")
                    .replace("X-Attempt: ${request.header("X-Attempt")}", "X-Attempt: other")
                socket.send(other + answer(request))
            }
        )

        @Test
        fun `announces it in an answer that is discarded as invalid`() = assertLeftAlone(
            upstream { request, socket, _ ->
                socket.send(answer(request, extra = "Content-Encoding: br\r\nX-Leaving: 1\r\n"))
            }
        )

        @Test
        fun `is not assumed when another process at its address announces it`() {
            val other = upstream { request, socket, number ->
                if (number == 1) {
                    val extra = "X-Leaving: 1\r\n"
                    socket.send(answer(request, status = "421 Misdirected", extra = extra))
                } else {
                    socket.send(answer(request))
                }
            }
            val gateway = gateway(other)
            gateway.exchange(request("safe"))
            assertTrue(gateway.state.notices.isEmpty())
        }
    }

    @Nested
    inner class AnUpstreamThatRequestsAPause {
        private fun shedding(pause: String) = upstream { request, socket, _ ->
            val extra = "X-Not-Run: 1\r\nRetry-After: $pause\r\n"
            socket.send(answer(request, status = "503 Full", extra = extra))
        }

        @Test
        fun `gets no request during the pause and callers get its end as Retry-After`() {
            val shedding = shedding("1.5")
            val gateway = gateway(shedding)
            val replies = (1..MORE_REQUESTS).map { gateway.exchange(request("safe")) }
            assertEquals(1, shedding.requests.size)
            for (reply in replies) {
                assertTrue(reply.startsWith("HTTP/1.1 503"), reply)
                val seconds = Regex("retry-after: ([0-9.]+)", RegexOption.IGNORE_CASE)
                    .find(reply)!!.groupValues[1].toDouble()
                assertTrue(seconds in 1.0..2.5, reply)
            }
        }

        @Test
        fun `gets no further request once it has refused concurrent requests`() {
            val held = CompletableFuture<Unit>()
            val shedding = upstream { request, socket, _ ->
                held.get(5, TimeUnit.SECONDS)
                val extra = "X-Not-Run: 1\r\nRetry-After: 3\r\n"
                socket.send(answer(request, status = "503 Full", extra = extra))
            }
            val gateway = gateway(shedding)
            val replies = (1..20).map {
                CompletableFuture.supplyAsync {
                    gateway.exchange(request("safe", attempt = "c$it"))
                }
            }
            Thread.sleep(300)
            held.complete(Unit)
            replies.forEach { assertContains(it.get(5, TimeUnit.SECONDS), "503") }
            val reached = shedding.requests.size
            repeat(MORE_REQUESTS) { gateway.exchange(request("safe", attempt = "m$it")) }
            assertEquals(reached, shedding.requests.size)
        }

        @Test
        fun `stays in use if the pause is not a positive number`() {
            for (pause in listOf("0", "-3", "soon", "", "NaN")) {
                val shedding = shedding(pause)
                val gateway = gateway(shedding)
                repeat(3) {
                    gateway.exchange(request("safe", attempt = "p$it"))
                    Thread.sleep(150)
                }
                assertTrue(shedding.requests.size >= 3, "'$pause': ${shedding.requests.size}")
            }
        }

        @Test
        fun `is not paused by Retry-After with a status other than 503`() {
            for (status in listOf("429 Busy", "500 Failed", "502 Bad", "504 Late")) {
                val busy = upstream { request, socket, _ ->
                    socket.send(answer(request, status = status, extra = "Retry-After: 60\r\n"))
                }
                val gateway = gateway(busy)
                repeat(3) { gateway.exchange(request("unsafe", attempt = "p$it")) }
                assertEquals(3, busy.requests.size, status)
            }
        }
    }

    @Nested
    inner class Pauses {
        @Test
        fun `are positive numbers of seconds, and bounded`() {
            assertEquals(250.milliseconds, pauseOrNull("0.25"))
            assertEquals(2.seconds, pauseOrNull(" 2 "))
            assertEquals(3650.days, pauseOrNull("1e300"))
            assertEquals(3650.days, pauseOrNull("Infinity"))
            for (value in listOf("", "-1", "0", "NaN", "Fri, 04 Dec 2026 12:00:00 GMT", "1 s")) {
                assertNull(pauseOrNull(value), value)
            }
        }
    }

    @Nested
    inner class AnUpstreamThatNamesALimit {
        private fun rateAfter(vararg answers: (ReadRequest) -> String): Double? {
            val upstream = upstream { request, socket, number ->
                socket.send(answers[(number - 1).coerceAtMost(answers.lastIndex)](request))
            }
            val gateway = gateway(upstream)
            repeat(answers.size) { gateway.exchange(request("safe", attempt = "a$it")) }
            return gateway.state.notices.values.single().rate?.requestsPerSecond
        }

        private fun limited(value: String, status: String = "200 OK", extra: String = "") =
            { request: ReadRequest ->
                answer(request, status = status, extra = "X-Rate: $value\r\n$extra")
            }

        @Test
        fun `names it in any answer, and the lowest applies`() {
            assertEquals(1.3, rateAfter(limited("1.3")))
            assertEquals(0.5, rateAfter(limited(" 2, 0.5")))
            assertEquals(2.0, rateAfter(limited("2", "503 Full", "X-Not-Run: 1\r\n")))
        }

        @Test
        fun `lifts it with an answer that names none`() =
            assertNull(rateAfter(limited("1.3"), { answer(it) }))

        @Test
        fun `does not name it with a value that is no number of requests`() =
            assertEquals(1.0, rateAfter(limited("1, NaN, -3, soon, Infinity")))
    }

    private companion object {
        const val MORE_REQUESTS = 8
    }
}
