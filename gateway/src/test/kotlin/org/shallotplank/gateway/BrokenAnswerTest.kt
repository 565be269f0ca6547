package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Upstreams that repeat, mix or break off their answers. */
class BrokenAnswerTest {
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
                "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
            }

        @Test
        fun `is not taken for the next answer if it has the earlier attempt id`() =
            assertNotTakenForTheNext {
                answer(it, "", "503 Full", "X-Not-Run: 1\r\nKeep-Alive: timeout=9\r\n")
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
        /** Shorter than the heads that the tests break off. */
        const val HEAD_LENGTH = 60
    }
}
