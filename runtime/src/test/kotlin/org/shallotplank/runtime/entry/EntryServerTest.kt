package org.shallotplank.runtime.entry

import java.io.IOException
import java.io.Reader
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.channels.Channel
import org.junit.jupiter.api.Nested
import org.shallotplank.config.EntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.entry.IncomingCall
import org.shallotplank.runtime.Metrics
import org.shallotplank.testsupport.LoopbackAddresses

class EntryServerTest {
    private var answer: (Channel<AnswerPart>) -> Unit = {
        it.trySend(AnswerPart.Whole(AnswerHead(200), Payload.Empty))
    }
    private val submitted = CopyOnWriteArrayList<IncomingCall>()
    private val address = LoopbackAddresses.reserve()
    private val other = Address("127.0.0.1", 1)
    private val server = EntryServer(
        settings = EntrySettings(
            instanceId = InstanceId("entry-1"),
            zone = ZoneName("khomas-a"),
            region = "windhoek",
            listenAddress = address,
            peerAddress = other,
            adminAddress = other,
            platformAddress = other,
            clusterKeyFile = "/none"
        ),
        ports = EntryServerPorts(
            submit = { call ->
                submitted += call
                Channel<AnswerPart>(Channel.UNLIMITED).also { answer(it) }
            },
            callerLeft = {},
            entries = { _, _ -> persistentListOf() }
        ),
        metrics = Metrics(),
        clock = Clock.System
    )

    /** Starts the server and has it answer once, since the first answer of a JVM loads classes. */
    @BeforeTest
    fun start() {
        server.start()
        assertEquals("HTTP/1.1 200 OK", post("Content-Length: 4", "warm", WARM_UP_TIMEOUT_MILLIS))
        submitted.clear()
    }

    @AfterTest
    fun stop() = server.stop(Duration.ZERO)

    /** Sends [request], returns the status line or null if none arrives, and disconnects. */
    private fun send(request: String, timeoutMillis: Int = ANSWER_TIMEOUT_MILLIS): String? =
        Socket(address.host, address.port).use {
            it.soTimeout = timeoutMillis
            it.getOutputStream().write(request.encodeToByteArray())
            try {
                it.getInputStream().bufferedReader().readLine()
            } catch (e: IOException) {
                null
            }
        }

    /** Asserts that no earlier request was submitted, by sending one more that is. */
    private fun assertNoneSubmitted() {
        post("Content-Length: 5", "after")
        assertEquals(listOf("after"), submitted.map { it.body.bytes.decodeToString() })
    }

    private fun post(
        headers: String,
        body: String,
        timeoutMillis: Int = ANSWER_TIMEOUT_MILLIS
    ): String? = send(
        "POST /services/order-app/bookings HTTP/1.1\r\nHost: e\r\n$headers\r\n\r\n$body",
        timeoutMillis
    )

    @Nested
    inner class Bodies {
        @Test
        fun `that are complete are submitted`() {
            assertEquals("HTTP/1.1 200 OK", post("Content-Length: 4", "pour"))
            assertEquals(listOf("pour"), submitted.map { it.body.bytes.decodeToString() })
        }

        @Test
        fun `that are shorter than declared are not submitted`() {
            post("Content-Length: 40", "pour")
            assertNoneSubmitted()
        }

        @Test
        fun `without a declared length are rejected, complete or truncated`() {
            val bodies = listOf(
                "4\r\npour\r\nZZZ\r\n",
                "4\r\npour\r\n",
                "4\r\npour\r\n0\r\n\r\n"
            )
            for (body in bodies) {
                val status = post("Transfer-Encoding: chunked", body)
                assertEquals("HTTP/1.1 411 Length Required", status)
            }
            assertNoneSubmitted()
        }

        @Test
        fun `that are too large are refused`() {
            val status = post("Content-Length: 9999999", "")
            assertEquals("HTTP/1.1 413 Payload Too Large", status)
            assertNoneSubmitted()
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `that are complete end with the terminating chunk`() {
            answer = { parts ->
                parts.trySend(AnswerPart.Begin(AnswerHead(200)))
                parts.trySend(AnswerPart.Continue(event))
                parts.trySend(AnswerPart.End)
            }
            assertTrue(readStream().endsWith(LAST_CHUNK))
        }

        @Test
        fun `that are aborted never end with the terminating chunk`() {
            val random = Random(SEED)
            repeat(CUT_STREAMS) {
                val eventCount = random.nextInt(MAX_EVENTS)
                answer = { parts ->
                    parts.trySend(AnswerPart.Begin(AnswerHead(200)))
                    repeat(eventCount) { parts.trySend(AnswerPart.Continue(event)) }
                    parts.trySend(AnswerPart.Cut(cause))
                }
                val received = readStream()
                assertFalse(LAST_CHUNK in received, "aborted after $eventCount events: $received")
            }
        }

        private val event = Payload("data: pour\n\n".encodeToByteArray())
        private val cause = Refusal(
            runState = RunState.MAY_HAVE_RUN,
            reason = RefusalReason.UPSTREAM_LOST,
            detail = "the upstream was lost"
        )

        /** Returns what the server sends for one request until the connection ends or fails. */
        private fun readStream(): String = Socket(address.host, address.port).use { socket ->
            socket.soTimeout = ANSWER_TIMEOUT_MILLIS
            val request = "POST /services/draft-model/quotes HTTP/1.1\r\n" +
                "Host: e\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(request.encodeToByteArray())
            val reader = socket.getInputStream().reader()
            generateSequence { reader.nextOrNull() }.joinToString("")
        }

        /**
         * Returns the next character, or null at the end of the stream.
         *
         * A reset counts as an end too, since it shows that the stream was aborted.
         */
        private fun Reader.nextOrNull(): Char? = try {
            read().takeIf { it >= 0 }?.toChar()
        } catch (e: IOException) {
            null
        }
    }

    private companion object {
        const val ANSWER_TIMEOUT_MILLIS = 1_000
        const val WARM_UP_TIMEOUT_MILLIS = 15_000
        const val LAST_CHUNK = "\r\n0\r\n\r\n"
        const val SEED = 20261204
        const val MAX_EVENTS = 4

        /**
         * Ktor ended about one in seven aborted streams as if they were complete; this many
         * streams reliably show that fault.
         */
        const val CUT_STREAMS = 200
    }
}
