package org.shallotplank.testsupport

import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import org.shallotplank.core.Address

/** Reserves loopback addresses for the servers of tests. */
public object LoopbackAddresses {
    private const val HOST = "127.0.0.1"

    /** Keeps the reserving sockets from being closed by the garbage collector. */
    private val reserving = CopyOnWriteArrayList<Socket>()

    /**
     * Returns an address that no other socket gets until this process ends.
     *
     * A socket that does not listen stays bound to it. Linux lets a server with `SO_REUSEADDR`, in
     * this process or another, listen there beside it, and gives the port to nobody who asks for
     * any free one. Until a server listens, connections are refused.
     *
     * @throws java.io.IOException if no port is free.
     */
    public fun reserve(): Address {
        val socket = Socket().apply {
            reuseAddress = true
            bind(InetSocketAddress(HOST, 0))
        }
        reserving += socket
        return Address(HOST, socket.localPort)
    }
}
