package org.shallotplank.gateway

import java.io.IOException
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.MAX_BODY_TIME
import org.shallotplank.gateway.budget.MIN_BYTES_PER_SECOND

/** Answers larger than the socket buffers, read by callers slower than the upstream. */
class SlowReadingTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun gateway(
        limits: CallerLimits = CallerLimits(),
        maxConnections: Int = 1_000,
        answerBytes: Int = LONG_BYTES
    ): GatewayFixture {
        val upstream = ScriptedUpstream { request, socket, number ->
            socket.send(answer(request, "x".repeat(answerBytes + number * STEP_BYTES)))
        }
        open += upstream
        return GatewayFixture(
            listOf(upstream),
            timeout = 30.seconds,
            limits = limits,
            maxConnections = maxConnections
        ).also { open += it }
    }

    private fun GatewayFixture.reader(close: Boolean = true, receiveBytes: Int? = null): Socket =
        connect(receiveBytes).also {
            open += it
            it.send(request("safe", close = close).replace("5000", "30000"))
        }

    /** A caller whose answer is complete at the entry, which still holds the end of it. */
    private inner class AlmostRead(maxConnections: Int = 1_000, close: Boolean = true) {
        val gateway = gateway(maxConnections = maxConnections, answerBytes = SHORTER_BYTES)
        private lateinit var reader: Socket
        private var count = 0
        private var trials = 0

        init {
            // Depending on where the buffers are full, the entry may hold nothing at the end.
            do {
                if (trials > 0) reader.close()
                reader = gateway.reader(close, RECEIVE_BYTES)
                trials++
                count = 0
                while (count < PIECE_BYTES || gateway.state.calls.isNotEmpty()) {
                    count += reader.getInputStream().readNBytes(PIECE_BYTES).size
                }
            } while (gateway.heldBytes == 0.0 && trials < MAX_TRIALS)
            assertTrue(gateway.heldBytes > 0, "nothing is held")
        }

        /** Length of the answer without its head. */
        val answerBytes: Int get() = SHORTER_BYTES + trials * STEP_BYTES

        /** Reads to the end and returns the number of bytes of the answer. */
        fun readAll(): Int = count + reader.readRest()
    }

    private fun Socket.readRest(): Int {
        var count = 0
        val piece = ByteArray(PIECE_BYTES)
        try {
            while (true) {
                val read = getInputStream().read(piece)
                if (read < 0) break
                count += read
            }
        } catch (_: IOException) {
            // The connection was reset.
        }
        return count
    }

    /** Guards against cutting callers whose progress is hidden by the socket buffers. */
    @Nested
    inner class InCalm {
        @Test
        fun `a slow but steady reader gets the whole answer`() {
            val gateway = gateway(CallerLimits(idleTimeout = 100.milliseconds))
            val reader = gateway.reader()
            var count = 0
            while (true) {
                val read = reader.getInputStream().readNBytes(PIECE_BYTES).size
                count += read
                if (read < PIECE_BYTES) break
                Thread.sleep(PIECE_PAUSE_MILLIS)
            }
            assertTrue(count > LONG_BYTES, "$count bytes")
        }

        @Test
        fun `a reader without progress is cut`() {
            val reading = AlmostRead()
            reading.gateway.advance(1_000.seconds)
            Thread.sleep(1_000)
            val count = reading.readAll()
            assertTrue(count < reading.answerBytes, "$count bytes")
        }
    }

    /** Guards against closing a connection whose answer is complete but not yet read. */
    @Nested
    inner class AnAnswerThatIsStillRead {
        @Test
        fun `is not cut for a new connection`() {
            val reading = AlmostRead(maxConnections = 2)
            val other = reading.gateway.connect().also { open += it }
            assertEquals(0, other.readRest())
            val count = reading.readAll()
            assertTrue(count > reading.answerBytes, "$count bytes")
        }

        @Test
        fun `is not cut by a planned stop`() {
            val reading = AlmostRead(close = false)
            reading.gateway.closeIdle()
            val count = reading.readAll()
            assertTrue(count > reading.answerBytes, "$count bytes")
        }
    }

    /** Guards against a time limit that bodies within the published limits exceed. */
    @Test
    fun `the time of a body suffices for the largest one at the lowest rate`() {
        assertTrue(MAX_BODY_TIME.inWholeSeconds * MIN_BYTES_PER_SECOND > 4_194_304)
    }

    private companion object {
        /** Larger than the socket buffers of both sides can become. */
        const val LONG_BYTES = 12_000_000

        /** Larger than the socket buffers with [RECEIVE_BYTES]. */
        const val SHORTER_BYTES = 1_500_000
        const val RECEIVE_BYTES = 16_384
        const val PIECE_BYTES = 16_384

        /** Spreads the sizes of answers over what the send buffer takes in at a time. */
        const val STEP_BYTES = 23_000
        const val MAX_TRIALS = 20

        /** Makes the caller slower than the entry, so that all buffers are full. */
        const val PIECE_PAUSE_MILLIS = 5L
    }
}
