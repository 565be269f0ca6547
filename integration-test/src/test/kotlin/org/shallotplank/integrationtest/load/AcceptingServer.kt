package org.shallotplank.integrationtest.load

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import org.shallotplank.core.Address

/** A server on loopback that calls [serve] in a thread for each connection. */
internal abstract class AcceptingServer : AutoCloseable {
    private val listening = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()

    val address = Address("127.0.0.1", listening.localPort)

    /** Serves one connection; an [IOException] closes it. */
    protected abstract fun serve(socket: Socket)

    /** Starts to accept connections. */
    protected fun startAccepting() {
        thread(isDaemon = true) {
            try {
                while (true) serveInThread(track(listening.accept()))
            } catch (_: IOException) {
                // The test has ended.
            }
        }
    }

    /** Closes [socket] together with the server. */
    protected fun track(socket: Socket): Socket = socket.also { sockets += it }

    override fun close() {
        listening.close()
        sockets.forEach { it.close() }
    }

    private fun serveInThread(socket: Socket) {
        thread(isDaemon = true) {
            try {
                serve(socket)
            } catch (_: IOException) {
                socket.close()
            }
        }
    }

    private companion object {
        const val BACKLOG = 1_024
    }
}
