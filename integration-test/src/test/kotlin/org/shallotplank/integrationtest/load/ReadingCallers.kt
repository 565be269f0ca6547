package org.shallotplank.integrationtest.load

import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import org.shallotplank.core.Address

/** Callers that read what they get, and send the next [request] when their connection ends. */
internal class ReadingCallers(
    private val address: Address,
    count: Int,
    private val request: (caller: Int) -> String
) : AutoCloseable {
    @Volatile
    private var isClosed = false
    private val sockets = CopyOnWriteArrayList<Socket>()

    init {
        repeat(count) { caller -> thread(isDaemon = true) { repeatRequest(caller) } }
    }

    private fun repeatRequest(caller: Int) {
        while (!isClosed) {
            try {
                Socket(address.host, address.port).use { readAnswer(it, caller) }
            } catch (_: IOException) {
                Thread.sleep(RETRY_MILLIS)
            }
        }
    }

    private fun readAnswer(socket: Socket, caller: Int) {
        sockets += socket
        socket.getOutputStream().write(request(caller).toByteArray())
        val buffer = ByteArray(BUFFER_BYTES)
        while (socket.getInputStream().read(buffer) >= 0) Unit
        sockets -= socket
    }

    override fun close() {
        isClosed = true
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BUFFER_BYTES = 16_384
        const val RETRY_MILLIS = 100L
    }
}
