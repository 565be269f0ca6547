package org.shallotplank.gateway

import java.io.InputStream
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import org.shallotplank.core.Address

/** A request that a [ScriptedUpstream] received. */
internal class ReadRequest(val line: String, val headers: List<String>, val body: String) {
    fun header(name: String): String? = headers
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(':')
        ?.trim()
}

/**
 * An upstream on loopback where [respond] writes the answer to each request to the socket.
 *
 * Unless it [readsBodies], bodies stay in the socket and fill its small receive buffer, so that the
 * sender cannot write a long one.
 */
internal class ScriptedUpstream(
    private val readsBodies: Boolean = true,
    private val respond: (ReadRequest, Socket, requestNumber: Int) -> Unit
) : AutoCloseable {
    private val listening = ServerSocket().apply {
        if (!readsBodies) receiveBufferSize = SMALL_BUFFER_BYTES
        bind(InetSocketAddress("127.0.0.1", 0), BACKLOG)
    }
    private val count = AtomicInteger()
    private val sockets = CopyOnWriteArrayList<Socket>()

    val address = Address("127.0.0.1", listening.localPort)
    val requests = CopyOnWriteArrayList<ReadRequest>()

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    private fun serve(socket: Socket) {
        runCatching {
            while (true) {
                val request = readRequest(socket.getInputStream(), readsBodies) ?: break
                requests += request
                respond(request, socket, count.incrementAndGet())
            }
        }
        socket.close()
    }

    /**
     * Ends listening, so that connections are refused when this returns.
     *
     * The kernel may accept some for a moment while another thread still waits for one.
     */
    fun stopListening() {
        listening.close()
        while (runCatching { Socket(address.host, address.port).close() }.isSuccess) Thread.sleep(1)
    }

    override fun close() {
        listening.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
        const val SMALL_BUFFER_BYTES = 8_192
    }
}

/**
 * Reads one request with its body of Content-Length bytes, or only its head unless [readsBody].
 *
 * Returns null at the end of the connection.
 */
internal fun readRequest(input: InputStream, readsBody: Boolean = true): ReadRequest? {
    val lines = readHeaderLines(input) ?: return null
    val length = lines.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
        ?.substringAfter(':')?.trim()?.toInt() ?: 0
    val body = if (readsBody) String(input.readNBytes(length)) else ""
    return ReadRequest(lines.first(), lines.drop(1), body)
}

/** Reads header lines up to the empty line, null at the end of the connection. */
internal fun readHeaderLines(input: InputStream): List<String>? {
    val text = StringBuilder()
    while (!text.endsWith("\r\n\r\n")) {
        val byte = input.read()
        if (byte < 0) return null
        text.append(byte.toChar())
    }
    return text.toString().trimEnd().split("\r\n")
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Closes the connection so that its peer sees a reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}
