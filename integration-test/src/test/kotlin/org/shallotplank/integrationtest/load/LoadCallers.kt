package org.shallotplank.integrationtest.load

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.shallotplank.core.Address

/**
 * Connections that send [pieces] each, read nothing and stay open until they are closed.
 *
 * All writes are non-blocking, so a process that stops reading does not stop the other connections.
 *
 * @param pause time between two pieces of a connection.
 */
internal class LoadCallers(
    address: Address,
    count: Int,
    private val pause: Duration = Duration.ZERO,
    pieces: () -> Iterator<ByteBuffer>
) : AutoCloseable {
    private val target = InetSocketAddress(address.host, address.port)
    private val callers = List(count) { LoadCaller(pieces()) }

    @Volatile
    private var isClosed = false
    private val sender = thread(isDaemon = true, name = "load") {
        while (!isClosed && callers.any { !it.isDone }) {
            callers.forEach { it.advance() }
            Thread.sleep(if (pause > Duration.ZERO) pause.inWholeMilliseconds else 1)
        }
    }

    /** Waits until everything is sent or refused, [limit] at most. */
    fun awaitSent(limit: Duration): Unit = sender.join(limit.inWholeMilliseconds)

    override fun close() {
        isClosed = true
        sender.join()
        callers.forEach { it.close() }
    }

    private inner class LoadCaller(private val pieces: Iterator<ByteBuffer>) {
        private val channel = SocketChannel.open().apply {
            configureBlocking(false)
            setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        }
        private var isConnecting = false
        private var current: ByteBuffer? = null
        var isDone = false
            private set

        fun advance() {
            if (isDone) return
            try {
                if (isConnected()) send()
            } catch (_: IOException) {
                isDone = true
            }
        }

        fun close(): Unit = channel.close()

        private fun isConnected(): Boolean = when {
            channel.isConnected -> true
            isConnecting -> channel.finishConnect()
            else -> {
                isConnecting = true
                channel.connect(target)
            }
        }

        private fun send() {
            var sent = 0
            val start = TimeSource.Monotonic.markNow()
            while (sent < PIECES_PER_TURN && start.elapsedNow() < TURN) {
                val piece = current?.takeIf { it.hasRemaining() } ?: next() ?: return
                current = piece
                if (channel.write(piece) == 0) return
                sent++
                if (pause > Duration.ZERO) return
            }
        }

        private fun next(): ByteBuffer? {
            if (pieces.hasNext()) return pieces.next()
            isDone = true
            return null
        }
    }

    private companion object {
        /** Small, so that unread answers stay in the process. */
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val PIECES_PER_TURN = 64
        val TURN = 5.milliseconds
    }
}

/** Returns [text] as one piece. */
internal fun piece(text: String): ByteBuffer = ByteBuffer.wrap(text.toByteArray())

/** Returns [bytes] of a body in pieces of [pieceBytes] without copying them. */
internal fun bodyPieces(bytes: Int, pieceBytes: Int): Sequence<ByteBuffer> = sequence {
    val zeros = ByteBuffer.wrap(ByteArray(pieceBytes))
    var left = bytes
    while (left > 0) {
        val size = minOf(left, pieceBytes)
        yield(zeros.slice(0, size))
        left -= size
    }
}
