package org.shallotplank.integrationtest.load

import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong

/**
 * How a [FloodingPeer] answers.
 *
 * @property begin what it sends first, given the attempt id of the request.
 * @property piece what it sends without end after that; nothing if it is empty.
 */
internal class Flood(val begin: (attemptId: String) -> String, val piece: String = "")

/** A process that answers every request with [flood] until the other side closes. */
internal class FloodingPeer(private val flood: Flood) : AcceptingServer() {
    /** Bytes that the other side has taken so far. */
    val sentBytes = AtomicLong()

    init {
        startAccepting()
    }

    override fun serve(socket: Socket) {
        while (true) answer(socket)
    }

    private fun answer(socket: Socket) {
        val head = readHead(socket.getInputStream())
        val attemptId = head.lines().find { it.startsWith("Attempt-Id:", ignoreCase = true) }
            ?.substringAfter(':')?.trim().orEmpty()
        send(socket, flood.begin(attemptId).toByteArray())
        val piece = flood.piece.repeat(WRITE_BYTES / flood.piece.length.coerceAtLeast(1) + 1)
            .toByteArray()
        while (piece.isNotEmpty()) send(socket, piece)
    }

    private fun send(socket: Socket, bytes: ByteArray) {
        socket.getOutputStream().write(bytes)
        sentBytes.addAndGet(bytes.size.toLong())
    }

    private fun readHead(input: InputStream): String {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) throw IOException("closed")
            text.append(byte.toChar())
        }
        return text.toString()
    }

    private companion object {
        const val WRITE_BYTES = 16_384
    }
}
