package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Upstreams that write answers once more, whole or in part, on a connection in use again. */
class RepeatedAnswerTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun upstream(respond: (ReadRequest, Socket) -> Unit) =
        ScriptedUpstream { request, socket, _ -> respond(request, socket) }.also { open += it }

    private fun gateway(vararg upstreams: ScriptedUpstream, maxAttempts: Int = 2) =
        GatewayFixture(upstreams.toList(), maxAttempts).also { open += it }

    /** Guards against callers who are told that a request has not run although it runs. */
    @Nested
    inner class ARefusalThatIsWrittenOnceMore {
        private val refused = CopyOnWriteArraySet<Socket>()

        /** Refuses the first request of a connection, and repeats that before later answers. */
        private fun repeating(refusal: (ReadRequest) -> String): ScriptedUpstream {
            var first = ""
            return upstream { request, socket ->
                when {
                    refused.isEmpty() -> {
                        first = refusal(request)
                        refused += socket
                        socket.send(first)
                    }
                    socket in refused -> socket.send(first + answer(request))
                    else -> socket.send(answer(request))
                }
            }
        }

        private fun assertNotTakenForTheNext(refusal: (ReadRequest) -> String) {
            val gateway = gateway(repeating(refusal))
            assertContains(gateway.exchange(request("safe", attempt = "a1")), "503 ")
            assertTrue(gateway.exchange(request("safe", attempt = "a2")).endsWith("ok"))
        }

        @Test
        fun `is not taken for the next answer if it has no attempt id`() =
            assertNotTakenForTheNext {
                "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=9\r\n" +
                    "Content-Length: 0\r\n\r\n"
            }

        @Test
        fun `is not taken for the next answer if it has the earlier attempt id`() =
            assertNotTakenForTheNext {
                answer(it, "", "503 Full", "X-Not-Run: 1\r\nKeep-Alive: timeout=9\r\n")
            }
    }

    /** Guards against a success where the upstream had answered with a failure. */
    @Nested
    inner class AnAnswerWithoutAnAttemptId {
        private val failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"
        private val keepAlive = "Keep-Alive: timeout=9\r\n"

        /** Keeps its connections; answers "twice" with a failure first, then with a success. */
        private fun answeringTwice() = upstream { request, socket ->
            if ("/twice" in request.line) {
                socket.send(failure)
                Thread.sleep(20)
            }
            socket.send(answer(request, extra = keepAlive))
        }

        private fun twice() = request("safe").replace("/x", "/twice")

        @Test
        fun `is delivered if it is the only one of its connection`() {
            val reply = gateway(answeringTwice(), maxAttempts = 1).exchange(twice())
            assertContains(reply, "500 Internal Server Error")
            assertTrue(reply.endsWith("no"))
        }

        @Test
        fun `is not taken for a late one if a success follows`() {
            val gateway = gateway(answeringTwice(), maxAttempts = 1)
            assertTrue(gateway.exchange(request("safe", attempt = "a0")).endsWith("ok"))
            assertContains(gateway.exchange(twice()), "502 Bad Gateway")
        }

        @Test
        fun `is replaced by that of another upstream on a connection in use again`() {
            val other = upstream { request, socket -> socket.send(answer(request, "other")) }
            val gateway = gateway(answeringTwice(), other)
            assertTrue(gateway.exchange(request("safe", attempt = "a0")).endsWith("ok"))
            assertTrue(gateway.exchange(twice()).endsWith("other"))
        }

        @Test
        fun `is skipped if it is a success, which would have one`() {
            val only = upstream { request, socket ->
                val late = answer(request, "late", extra = keepAlive)
                    .replace("X-Attempt: a1\r\n", "")
                if (request.header("X-Attempt") == "a1") socket.send(late)
                socket.send(answer(request, extra = keepAlive))
            }
            val gateway = gateway(only, maxAttempts = 1)
            assertTrue(gateway.exchange(request("safe", attempt = "a0")).endsWith("ok"))
            assertTrue(gateway.exchange(request("safe")).endsWith("ok"))
        }
    }

    /** Guards against answers with the status of one answer and the signature of another. */
    @Nested
    inner class ALateAnswerThatBreaksOff {
        private val keepAlive = "Keep-Alive: timeout=9\r\n"
        private val wholeLength = answer(
            ReadRequest(line = "", headers = listOf("X-Attempt: a0"), body = ""),
            extra = keepAlive
        ).length

        /** Answers with a failure, behind [length] characters of its last answer once more. */
        private fun replyBehind(length: Int): String {
            var last = ""
            val only = upstream { request, socket ->
                val isFirst = last.isEmpty()
                val status = if (isFirst) "200 OK" else "500 Failed"
                val own = answer(request, status = status, extra = keepAlive)
                socket.send(last.take(length) + own)
                last = own
            }
            val gateway = gateway(only, maxAttempts = 1)
            assertTrue(gateway.exchange(request("safe", attempt = "a0")).endsWith("ok"))
            return gateway.exchange(request("safe"))
        }

        @Test
        fun `is not joined with the next one wherever it ends`() {
            for (length in 1 until wholeLength) {
                val reply = replyBehind(length)
                assertContains(reply, "502 Bad Gateway", message = "$length characters: $reply")
            }
        }

        @Test
        fun `is not seen in an answer that came through a proxy`() {
            val only = upstream { request, socket ->
                socket.send(answer(request, extra = "Via: HTTP/1.1 proxy.example\r\n"))
            }
            assertTrue(gateway(only).exchange(request("safe")).endsWith("ok"))
        }

        @Test
        fun `is skipped if it is whole`() {
            assertContains(replyBehind(wholeLength), "500 Internal Server Error")
        }
    }
}
