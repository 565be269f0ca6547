package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.shallotplank.core.gateway.CallerLimits

/** Upstreams that break off their answers. */
class BrokenAnswerTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun upstream(respond: (ReadRequest, Socket) -> Unit) =
        ScriptedUpstream { request, socket, _ -> respond(request, socket) }.also { open += it }

    private fun gateway(vararg upstreams: ScriptedUpstream, maxAttempts: Int = 2) =
        GatewayFixture(upstreams.toList(), maxAttempts).also { open += it }

    /** Guards against callers who find another answer's text in the middle of theirs. */
    @Nested
    inner class AnAnswerThatBrokeOffAfterItsBeginning {
        private fun assertCutAfter(reply: String, beginning: String) {
            assertContains(reply, beginning)
            assertFalse("error" in reply, reply.takeLast(200))
            assertFalse(reply.endsWith(LAST_CHUNK), "ends as if it were complete")
        }

        private fun failing(body: String) = upstream { request, socket ->
            socket.send(answer(request, body, "500 Internal Server Error"))
        }

        private fun broken(answer: (ReadRequest) -> String) = upstream { request, socket ->
            socket.send(answer(request))
            Thread.sleep(100)
            socket.reset()
        }

        private val brokenStream = { request: ReadRequest ->
            streamHead(request) + chunk("id: 1\ndata: a\n\n")
        }

        @Test
        fun `is cut off if the next upstream fails`() {
            val gateway = gateway(broken(brokenStream), failing("error"))
            assertCutAfter(gateway.exchange(request("stream")), "data: a")
        }

        @Test
        fun `is cut off if the next upstream fails with a long text`() {
            val gateway = gateway(broken(brokenStream), failing("error ".repeat(100_000)))
            assertCutAfter(gateway.exchange(request("stream")), "data: a")
        }

        @Test
        fun `is cut off if the next upstream refuses`() {
            val refusing = upstream { request, socket ->
                socket.send(answer(request, "error", "503 Full", "X-Not-Run: 1\r\n"))
            }
            val gateway = gateway(broken(brokenStream), refusing)
            assertCutAfter(gateway.exchange(request("stream")), "data: a")
        }

        @Test
        fun `is not continued with the answer of another upstream unless it is a stream`() {
            val beginning = "first ".repeat(60_000)
            val long = broken { request -> streamHead(request) + chunk(beginning) }
            val other = upstream { request, socket ->
                socket.send(answer(request, "error ".repeat(60_000)))
            }
            val gateway = gateway(long, other)
            assertCutAfter(gateway.exchange(request("safe")), "first")
            assertEquals(0, other.requests.size)
        }
    }

    /** Guards against streams that end as if they were complete. */
    @Nested
    inner class AStreamThatEndsEarly {
        private val whole = "id: 1\ndata: a\n\n"

        private fun unframedHead(request: ReadRequest) = streamHead(request)
            .replace("Transfer-Encoding: chunked\r\n", "")

        private fun assertCut(answer: (ReadRequest) -> String) {
            val only = upstream { request, socket ->
                socket.send(answer(request))
                socket.close()
            }
            val reply = gateway(only, maxAttempts = 1).exchange(request("stream"))
            assertFalse(reply.endsWith(LAST_CHUNK), reply)
        }

        @Test
        fun `inside an event is cut off, with and without chunks`() {
            assertCut { streamHead(it) + chunk(whole + "id: 2\nda") + LAST_CHUNK }
            assertCut { unframedHead(it) + whole + "id: 2\nda" }
        }

        @Test
        fun `before its first event is cut off if nothing marks its end`() =
            assertCut(::unframedHead)

        @Test
        fun `inside an event is resumed at another upstream`() {
            val first = upstream { request, socket ->
                socket.send(streamHead(request) + chunk(whole + "id: 2\nda") + LAST_CHUNK)
            }
            val second = upstream { request, socket ->
                val from = request.header("Last-Event-Id")
                socket.send(
                    streamHead(request) + chunk("id: 2\ndata: after $from\n\n") + LAST_CHUNK
                )
            }
            val reply = gateway(first, second).exchange(request("stream"))
            assertContains(reply, "id: 2\ndata: after 1\n\n")
            assertTrue(reply.endsWith(LAST_CHUNK))
        }

        @Test
        fun `does not include a whole answer that is no event stream`() {
            val only = upstream { request, socket -> socket.send(answer(request, "no events")) }
            val reply = gateway(only).exchange(request("stream"))
            assertContains(reply, "no events")
            assertTrue(reply.endsWith(LAST_CHUNK))
        }

        @Test
        fun `after an event without a length or chunks is complete`() {
            val only = upstream { request, socket ->
                socket.send(unframedHead(request) + whole)
                socket.close()
            }
            assertTrue(gateway(only).exchange(request("stream")).endsWith(LAST_CHUNK))
        }
    }

    /** Guards against half answers that are delivered as whole ones after a reset. */
    @Nested
    inner class AnAnswerWithoutALengthThatIsReset {
        private val half = "half".repeat(100)
        private val events = "id: 1\ndata: a\n\n"

        private fun unframedHead(request: ReadRequest) =
            "HTTP/1.1 200 OK\r\nX-Attempt: ${request.header("X-Attempt")}\r\nX-Stamp: s\r\n\r\n"

        private fun longRequest(kind: String) = request(kind, body = "x".repeat(LONG_BODY_BYTES))

        /**
         * A gateway whose upstream answers with [body] and resets the connection after
         * [awaitReset], with or without having read the body of the request.
         */
        private fun resetting(
            body: String,
            readsBodies: Boolean,
            awaitReset: () -> Unit
        ): GatewayFixture {
            val only = ScriptedUpstream(readsBodies) { request, socket, _ ->
                socket.send(unframedHead(request) + body)
                awaitReset()
                socket.reset()
            }
            open += only
            val limits = CallerLimits(maxBodyBytes = LONG_BODY_BYTES)
            return GatewayFixture(listOf(only), maxAttempts = 1, limits = limits)
                .also { open += it }
        }

        private fun assertReplaced(kind: String, readsBodies: Boolean) {
            val gateway = resetting(half, readsBodies) { Thread.sleep(UNTIL_RESET_MILLIS) }
            val reply = gateway.exchange(longRequest(kind))
            assertContains(reply, "502 Bad Gateway")
            assertFalse("half" in reply)
        }

        private fun assertCut(kind: String, body: String, readsBodies: Boolean) {
            val isBegun = CountDownLatch(1)
            resetting(body, readsBodies, isBegun::await).connect().use { caller ->
                caller.send(longRequest(kind))
                val input = caller.getInputStream()
                assertContains(readHeaderLines(input).orEmpty().first(), "200 OK")
                isBegun.countDown()
                val rest = runCatching { String(input.readAllBytes()) }.getOrElse { "RESET" }
                assertFalse(rest.endsWith(LAST_CHUNK), "ends as if it were complete")
            }
        }

        @Test
        fun `is replaced by a 502 if the reset shows at a read`() {
            assertReplaced("safe", readsBodies = true)
            assertReplaced("unsafe", readsBodies = true)
        }

        @Test
        fun `is replaced by a 502 if the reset shows at a write of the request`() {
            assertReplaced("safe", readsBodies = false)
            assertReplaced("unsafe", readsBodies = false)
        }

        @Test
        fun `is cut off if it is too long to be held`() {
            assertCut("safe", half.repeat(1_000), readsBodies = true)
            assertCut("safe", half.repeat(1_000), readsBodies = false)
        }

        @Test
        fun `is cut off if it is a stream`() {
            assertCut("stream", events, readsBodies = true)
            assertCut("stream", events, readsBodies = false)
        }
    }

    /** Guards against short answers that are framed as whole. */
    @Nested
    inner class AHeadThatBreaksOff {
        private fun assertReplaced(kind: String, head: (ReadRequest) -> String) {
            for (missing in 1..HEAD_LENGTH) {
                val only = upstream { request, socket ->
                    socket.send(head(request).dropLast(missing))
                    socket.close()
                }
                val reply = gateway(only, maxAttempts = 1).exchange(request(kind))
                assertContains(reply, "502 Bad Gateway", message = "$missing bytes missing: $reply")
            }
        }

        @Test
        fun `is replaced by a 502 wherever it ends`() {
            assertReplaced("safe") { answer(it, body = "") }
            assertReplaced("stream") { streamHead(it) }
        }
    }

    private companion object {
        /** Longer than what the socket buffers of loopback take. */
        const val LONG_BODY_BYTES = 16_000_000

        /** Longer than the entry takes to read the beginning of an answer. */
        const val UNTIL_RESET_MILLIS = 100L

        /** Shorter than the heads that the tests break off. */
        const val HEAD_LENGTH = 60
    }
}
