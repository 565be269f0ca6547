package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.left
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.http.CallFailure
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpReply

class HttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun close() {
        open.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun call(respond: (Socket) -> Unit): Either<CallFailure, HttpReply> {
        val peer = ScriptedUpstream { _, socket, _ -> respond(socket) }.also { open += it }
        return runBlocking(group.next().asCoroutineDispatcher()) {
            HttpClient(group, peer.address).call(HttpCall("GET", "/"), timeout = 5.seconds)
        }
    }

    /** Guards against half a reply that is taken for a whole one. */
    @Nested
    inner class AReplyWithoutALength {
        @Test
        fun `is complete once the peer has closed the connection`() {
            val reply = call {
                it.send("HTTP/1.1 200 OK\r\n\r\nwhole")
                it.close()
            }
            assertEquals("whole", reply.getOrNull()?.body?.decodeToString())
        }

        @Test
        fun `is lost if the connection is reset`() {
            val reply = call {
                it.send("HTTP/1.1 200 OK\r\n\r\nhalf")
                Thread.sleep(LATER_MILLIS)
                it.reset()
            }
            assertEquals(CallFailure.CONNECTION_LOST.left(), reply)
        }
    }

    /** Guards against a conflict of the store that is taken for a write. */
    @Nested
    inner class AReplyBehindTheBeginningOfALateOne {
        @Test
        fun `is lost`() {
            val reply = call {
                it.send("HTTP/1.1 200 HTTP/1.1 412 Conflict\r\nContent-Length: 2\r\n\r\nno")
            }
            assertEquals(CallFailure.CONNECTION_LOST.left(), reply)
        }
    }

    /** Guards against tables that are read from the answer to an earlier, cancelled call. */
    @Nested
    inner class ACallThatIsCancelled {
        @Test
        fun `does not leave its answer to the next one`() {
            val peer = ScriptedUpstream { request, socket, _ ->
                if ("/first" in request.line) Thread.sleep(LATER_MILLIS * 3)
                socket.send(answer(request, request.line))
            }
            open += peer
            val client = HttpClient(group, peer.address)
            val reply = runBlocking(group.next().asCoroutineDispatcher()) {
                val first = launch { client.call(HttpCall("GET", "/first"), timeout = 5.seconds) }
                delay(LATER_MILLIS)
                first.cancelAndJoin()
                client.call(HttpCall("GET", "/second"), timeout = 5.seconds)
            }
            assertEquals("GET /second HTTP/1.1", reply.getOrNull()?.body?.decodeToString())
        }
    }

    /** Guards against orders that are taken for carried out by the answer to an earlier one. */
    @Nested
    inner class AReplyThatNobodyAskedFor {
        /** The reply to a second call, after [unsolicited] came with or behind the first reply. */
        private fun secondReply(unsolicited: (Socket) -> Unit): String? {
            val peer = ScriptedUpstream { request, socket, _ ->
                socket.send(answer(request, request.line))
                if ("/first" in request.line) unsolicited(socket)
            }
            open += peer
            val client = HttpClient(group, peer.address)
            val reply = runBlocking(group.next().asCoroutineDispatcher()) {
                client.call(HttpCall("POST", "/first"), timeout = 5.seconds)
                delay(LATER_MILLIS * 2)
                client.call(HttpCall("POST", "/second"), timeout = 5.seconds)
            }
            return reply.getOrNull()?.body?.decodeToString()
        }

        private val repeated = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"

        @Test
        fun `directly behind another is not the reply to the next call`() =
            assertEquals("POST /second HTTP/1.1", secondReply { it.send(repeated) })

        @Test
        fun `and comes later is not the reply to the next call`() {
            val reply = secondReply {
                Thread.sleep(LATER_MILLIS)
                it.send(repeated)
            }
            assertEquals("POST /second HTTP/1.1", reply)
        }

        @Test
        fun `and never ends is not the reply to the next call`() {
            val reply = secondReply { it.send("HTTP/1.1 200 OK\r\n\r\nendless") }
            assertEquals("POST /second HTTP/1.1", reply)
        }
    }

    /** Guards against calls to the store, entries and ranks that keep a reply without end. */
    @Nested
    inner class AReplyWithoutEnd {
        private fun assertGivenUp(begin: String, piece: String) {
            val sentBytes = AtomicLong()
            val bytes = piece.repeat(PIECES).toByteArray()
            val reply = call { socket ->
                socket.send(begin)
                while (sentBytes.get() < MAX_TAKEN_BYTES) {
                    socket.getOutputStream().write(bytes)
                    sentBytes.addAndGet(bytes.size.toLong())
                }
            }
            assertEquals(CallFailure.CONNECTION_LOST.left(), reply)
            assertTrue(sentBytes.get() < MAX_TAKEN_BYTES, "$sentBytes bytes were taken")
        }

        @Test
        fun `in its head is given up`() = assertGivenUp("HTTP/1.1 200 OK\r\n", "a: b\r\n")

        @Test
        fun `in a line is given up`() = assertGivenUp("HTTP/1.1 200 ", "OK")

        @Test
        fun `in a body without a length is given up`() =
            assertGivenUp("HTTP/1.1 200 OK\r\n\r\n", "x")

        @Test
        fun `in chunks is given up`() = assertGivenUp(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "400\r\n${"x".repeat(1_024)}\r\n"
        )

        @Test
        fun `in a trailer is given up`() = assertGivenUp(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n"
        )
    }

    @Nested
    inner class AnInterimReply {
        @Test
        fun `is not the reply`() {
            val reply = call { it.send("HTTP/1.1 102 Processing\r\n\r\n") }
            assertEquals(CallFailure.CONNECTION_LOST.left(), reply)
        }
    }

    private companion object {
        /** Longer than a call takes to be sent, or the beginning of its reply to be read. */
        const val LATER_MILLIS = 100L
        const val PIECES = 64

        /** The longest reply that a client takes, and what sockets in between may hold. */
        const val MAX_TAKEN_BYTES = 24L * 1_048_576
    }
}
