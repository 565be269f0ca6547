package org.shallotplank.runtime

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.writeByteArray
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.runtime.agent.EventStreamReader
import org.shallotplank.runtime.agent.httpUpstream
import org.shallotplank.runtime.platform.httpPlatform

/** Guards against processes that keep an answer without end until their memory ends. */
class EndlessAnswerTest {
    private val server = ServerSocket(0, 4, InetAddress.getLoopbackAddress())
    private val sentBytes = AtomicLong()
    private val address = Address("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) server.accept().let { thread(isDaemon = true) { flood(it) } }
            }
        }
    }

    @AfterTest
    fun close(): Unit = server.close()

    private fun flood(socket: Socket) {
        runCatching {
            socket.getInputStream().read(ByteArray(PIECE_BYTES))
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".toByteArray())
            val piece = ByteArray(PIECE_BYTES) { ' '.code.toByte() }
            while (true) {
                socket.getOutputStream().write(piece)
                sentBytes.addAndGet(piece.size.toLong())
            }
        }
        socket.close()
    }

    private fun assertBounded(maxBytes: Long) {
        val bytes = sentBytes.get()
        assertTrue(bytes in 1..maxBytes, "$bytes bytes were read")
    }

    @Nested
    inner class AnUpstream {
        @Test
        fun `that sends its load without end is not read to the end`() {
            assertNull(runBlocking { httpUpstream(address).readLoad() })
            assertBounded(SOCKET_BYTES)
        }

        @Test
        fun `that sends one line of an event stream without end fails`() = runBlocking {
            val channel = ByteChannel()
            var written = 0L
            val writer = launch {
                while (true) {
                    channel.writeByteArray(ByteArray(PIECE_BYTES) { 'x'.code.toByte() })
                    channel.flush()
                    written += PIECE_BYTES
                    if (written > MAX_LINE_BYTES) channel.flushAndClose()
                }
            }
            val event = async { runCatching { EventStreamReader(channel).next() } }
            assertFailsWith<IOException> { event.await().getOrThrow() }
            writer.cancelAndJoin()
            assertTrue(written <= MAX_LINE_BYTES, "$written bytes were read")
        }
    }

    @Nested
    inner class ThePlatform {
        @Test
        fun `that sends an object without end is not read to the end`() {
            assertNull(runBlocking { httpPlatform(address).readObject("o") })
            assertBounded(32 * MEGABYTE + SOCKET_BYTES)
        }
    }

    private companion object {
        const val PIECE_BYTES = 16_384
        const val MEGABYTE = 1_048_576L

        /** What sockets and clients in between may hold. */
        const val SOCKET_BYTES = 16 * MEGABYTE
        const val MAX_LINE_BYTES = 4 * MEGABYTE
    }
}
