package org.shallotplank.integrationtest.proxy

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.concurrent.thread
import org.shallotplank.core.Address
import org.shallotplank.integrationtest.anyLoopbackPort

/** TCP proxy in front of [target] that injects faults while it runs. */
internal class FaultProxy(private val target: Address, listen: Address = anyLoopbackPort) :
    AutoCloseable {
    private val connections = CopyOnWriteArrayList<ProxiedConnection>()
    private val lastingFaults = CopyOnWriteArraySet<ProxyFault>()
    private var listener = bind(listen)
    private var acceptor: Thread

    /** Address that callers connect to; does not change until the proxy is closed. */
    val address: Address = listen.copy(port = listener.localPort)

    /** Base URL of the target through the proxy, without a trailing slash. */
    val url: String = "http://$address"

    /** Number of connections that the proxy holds open, including silenced ones. */
    val openConnections: Int get() = connections.count { it.isOpen }

    init {
        acceptor = startAccepting(listener)
    }

    /** Injects [fault]; lasting faults accumulate until [heal]. */
    @Synchronized
    fun inject(fault: ProxyFault) {
        when (fault) {
            ProxyFault.ResetConnections -> connections.forEach { it.reset() }
            ProxyFault.CloseConnections -> connections.forEach { it.close() }
            ProxyFault.SilenceConnections -> connections.forEach { it.silence() }
            ProxyFault.RefuseConnections -> stopAccepting()
            is ProxyFault.DropBytes, is ProxyFault.Delay, is ProxyFault.Throttle ->
                lastingFaults += fault
        }
    }

    /** Ends all lasting faults; silenced connections stay silent. */
    @Synchronized
    fun heal() {
        lastingFaults.clear()
        if (listener.isClosed) {
            listener = bind(address)
            acceptor = startAccepting(listener)
        }
    }

    @Synchronized
    override fun close() {
        stopAccepting()
        connections.forEach { it.reset() }
    }

    private fun startAccepting(socket: ServerSocket): Thread =
        thread(isDaemon = true, name = "proxy-accept-$address") { acceptFrom(socket) }

    /** Joins the accepting thread: the port stays open until its last `accept` has returned. */
    private fun stopAccepting() {
        listener.close()
        acceptor.join()
    }

    private fun acceptFrom(socket: ServerSocket) {
        while (true) {
            val caller = try {
                socket.accept()
            } catch (_: IOException) {
                return
            }
            thread(isDaemon = true, name = "proxy-connect-$address") { connect(caller) }
        }
    }

    private fun connect(caller: Socket) {
        val upstream = try {
            Socket(target.host, target.port)
        } catch (_: IOException) {
            caller.resetAndClose()
            return
        }
        connections.removeIf { !it.isOpen }
        val connection = ProxiedConnection(caller, upstream, lastingFaults)
        connections += connection
        connection.start()
    }

    private fun bind(listen: Address): ServerSocket = ServerSocket().apply {
        reuseAddress = true
        bind(InetSocketAddress(InetAddress.getByName(listen.host), listen.port))
    }
}
