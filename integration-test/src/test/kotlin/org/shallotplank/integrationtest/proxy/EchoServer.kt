package org.shallotplank.integrationtest.proxy

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import org.shallotplank.core.Address

/** TCP server that sends every byte back to its caller. */
internal class EchoServer : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    val address: Address = Address("127.0.0.1", listener.localPort)

    private val acceptor = thread(isDaemon = true) {
        try {
            while (true) echo(listener.accept())
        } catch (_: IOException) {
            // The server is closed.
        }
    }

    /** Joins the accepting thread: the port stays open until its last `accept` has returned. */
    override fun close() {
        listener.close()
        acceptor.join()
    }

    private fun echo(socket: Socket) {
        thread(isDaemon = true) {
            try {
                socket.use { it.getInputStream().transferTo(it.getOutputStream()) }
            } catch (_: IOException) {
                // The caller has reset the connection.
            }
        }
    }

    private companion object {
        const val BACKLOG = 50
    }
}
