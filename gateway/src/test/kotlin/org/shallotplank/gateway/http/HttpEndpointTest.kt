package org.shallotplank.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.readHeaderLines
import org.shallotplank.gateway.send
import org.shallotplank.testsupport.LoopbackAddresses

/** Connections to an interface of the system whose share of connections is full. */
class HttpEndpointTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val address = LoopbackAddresses.reserve()
    private val sockets = mutableListOf<Socket>()

    init {
        val limits = EndpointLimits(maxConnections = 2)
        HttpEndpoint(group, address, limits) { _ -> HttpReply(OK) }.start()
    }

    @AfterTest
    fun close() {
        sockets.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun connect(): Socket = Socket(address.host, address.port).also {
        it.soTimeout = 5_000
        sockets += it
    }

    private fun Socket.poll(): String? = try {
        send("GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n")
        readHeaderLines(getInputStream())?.first()
    } catch (_: IOException) {
        null
    }

    /** Guards against callers that poll on kept connections and keep out all others. */
    @Nested
    inner class KeptConnections {
        @Test
        fun `give way to a new caller, the one that is idle for longest first`() {
            val (first, second) = List(2) { connect() }
            listOf(first, second, first).forEach { assertEquals(ANSWERED, it.poll()) }
            assertEquals(ANSWERED, connect().poll())
            assertEquals(ANSWERED, first.poll())
            assertEquals(null, second.poll())
        }

        @Test
        fun `that wait for their first request are not closed at once`() {
            val new = List(2) { connect() }
            new.last().also { assertEquals(ANSWERED, it.poll()) }
            assertEquals(ANSWERED, connect().poll())
            assertEquals(ANSWERED, new.first().poll())
        }
    }

    private companion object {
        const val OK = 200
        const val ANSWERED = "HTTP/1.1 200 OK"
    }
}
