package org.shallotplank.integrationtest.proxy

import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import kotlin.concurrent.thread

/** A caller's connection and the proxy's connection to the target on its behalf. */
internal class ProxiedConnection(
    private val caller: Socket,
    private val upstream: Socket,
    /** Faults in effect; may change at any time. */
    private val faults: Collection<ProxyFault>
) {
    @Volatile
    private var isSilent = false

    /** Whether at least one end is open. */
    val isOpen: Boolean get() = !caller.isClosed || !upstream.isClosed

    /** Starts forwarding in both directions. */
    fun start() {
        listOf(caller, upstream).forEach { it.tcpNoDelay = true }
        startPump(Direction.TO_TARGET, caller, upstream)
        startPump(Direction.TO_CALLER, upstream, caller)
    }

    /** Resets both connections. */
    fun reset() {
        caller.resetAndClose()
        upstream.resetAndClose()
    }

    /** Closes both connections without a reset. */
    fun close() {
        caller.close()
        upstream.close()
    }

    /** Stops forwarding permanently and leaves both connections open. */
    fun silence() {
        isSilent = true
    }

    private fun startPump(direction: Direction, source: Socket, sink: Socket) {
        thread(isDaemon = true, name = "proxy-$direction-${caller.port}") {
            try {
                forward(direction, source, sink)
                endStream(source, sink)
            } catch (_: IOException) {
                if (!isSilent) reset()
            }
        }
    }

    private fun forward(direction: Direction, source: Socket, sink: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        val input = source.getInputStream()
        val output = sink.getOutputStream()
        while (true) {
            val count = input.read(buffer)
            if (count < 0 || isSilent) return
            sleepFor(direction)
            if (isSilent) return
            if (faults.none { it == ProxyFault.DropBytes(direction) }) {
                output.writeThrottled(buffer, count)
            }
        }
    }

    private fun sleepFor(direction: Direction) {
        faults.filterIsInstance<ProxyFault.Delay>()
            .filter { it.direction == direction }
            .forEach { Thread.sleep(it.time.inWholeMilliseconds) }
    }

    private fun OutputStream.writeThrottled(buffer: ByteArray, count: Int) {
        var written = 0
        while (written < count && !isSilent) {
            val throttle = faults.filterIsInstance<ProxyFault.Throttle>().firstOrNull()
            val chunkBytes = minOf(throttle?.chunkBytes ?: count, count - written)
            write(buffer, written, chunkBytes)
            written += chunkBytes
            throttle?.let { Thread.sleep(it.pause.inWholeMilliseconds) }
        }
    }

    /** Forwards the half-close of [source]; closes both ends once both directions have ended. */
    private fun endStream(source: Socket, sink: Socket) {
        if (isSilent) return
        sink.shutdownOutput()
        if (source.isOutputShutdown) close()
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}

/** Closes this socket with a TCP reset. */
internal fun Socket.resetAndClose() {
    try {
        setSoLinger(true, 0)
    } catch (_: IOException) {
        // The socket is already closed.
    }
    close()
}
