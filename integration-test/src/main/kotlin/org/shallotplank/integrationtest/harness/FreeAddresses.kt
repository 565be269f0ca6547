package org.shallotplank.integrationtest.harness

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import org.shallotplank.core.Address

/**
 * Allocates free loopback addresses, each at most once per process.
 *
 * The ports are below the ephemeral range, so that no outgoing connection takes one between its
 * allocation and the start of the process that listens on it.
 */
internal object FreeAddresses {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000

    /** Starts at a different offset in each process, because several may run concurrently. */
    private val next = AtomicInteger((ProcessHandle.current().pid() * 97).toInt())

    /** Returns an address that no process listens on at present. */
    fun next(): Address {
        while (true) {
            val port = FIRST_PORT + next.getAndIncrement().mod(LAST_PORT - FIRST_PORT)
            if (isFree(port)) return Address("127.0.0.1", port)
        }
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (e: IOException) {
        false
    }
}
