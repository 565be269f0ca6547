package org.shallotplank.integrationtest.proxy

import java.net.ConnectException
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import org.junit.jupiter.api.Nested

class FaultProxyTest {
    private val server = EchoServer()
    private val proxy = FaultProxy(server.address)
    private val sockets = mutableListOf<Socket>()

    @AfterTest
    fun close() {
        sockets.forEach { it.close() }
        proxy.close()
        server.close()
    }

    private fun connect(): Socket = Socket(proxy.address.host, proxy.address.port).also {
        it.soTimeout = READ_TIMEOUT_MILLIS
        sockets += it
    }

    private fun Socket.exchange(text: String): String {
        getOutputStream().write(text.encodeToByteArray())
        return getInputStream().readNBytes(text.length).decodeToString()
    }

    private fun Socket.assertReceivesNothing() {
        soTimeout = SILENCE_MILLIS
        getOutputStream().write(1)
        assertFailsWith<SocketTimeoutException> { getInputStream().read() }
    }

    @Nested
    inner class Connections {
        @Test
        fun `are forwarded in both directions`() {
            val socket = connect()
            assertEquals("first", socket.exchange("first"))
            assertEquals("second", socket.exchange("second"))
        }

        @Test
        fun `forward a half-close`() {
            val socket = connect()
            socket.getOutputStream().write("last".encodeToByteArray())
            socket.shutdownOutput()
            assertEquals("last", socket.getInputStream().readAllBytes().decodeToString())
        }

        @Test
        fun `end with a TCP reset when they are reset`() {
            val socket = connect()
            socket.exchange("a")
            proxy.inject(ProxyFault.ResetConnections)
            assertFailsWith<SocketException> { socket.getInputStream().read() }
            assertEquals("b", connect().exchange("b"))
        }

        @Test
        fun `end without an error when they are closed`() {
            val socket = connect()
            socket.exchange("a")
            proxy.inject(ProxyFault.CloseConnections)
            assertEquals(-1, socket.getInputStream().read())
        }

        @Test
        fun `go silent for good while new ones work`() {
            val socket = connect()
            socket.exchange("a")
            proxy.inject(ProxyFault.SilenceConnections)
            socket.assertReceivesNothing()
            assertEquals("b", connect().exchange("b"))
            proxy.heal()
            socket.assertReceivesNothing()
        }

        @Test
        fun `are refused until the proxy is healed`() {
            val open = connect()
            open.exchange("a")
            proxy.inject(ProxyFault.RefuseConnections)
            assertFailsWith<ConnectException> { connect() }
            assertEquals("b", open.exchange("b"))
            proxy.heal()
            assertEquals("c", connect().exchange("c"))
        }

        @Test
        fun `are reset when the target does not listen`() {
            server.close()
            assertFailsWith<SocketException> { connect().getInputStream().read() }
        }
    }

    @Nested
    inner class Bytes {
        @Test
        fun `are dropped in one direction only`() {
            val socket = connect()
            socket.exchange("a")
            proxy.inject(ProxyFault.DropBytes(Direction.TO_CALLER))
            socket.assertReceivesNothing()
            proxy.heal()
            socket.soTimeout = READ_TIMEOUT_MILLIS
            assertEquals("b", socket.exchange("b"))
        }

        @Test
        fun `arrive complete and in order when they are throttled and delayed`() {
            proxy.inject(ProxyFault.Throttle(chunkBytes = 7, pause = 1.milliseconds))
            proxy.inject(ProxyFault.Delay(Direction.TO_TARGET, 5.milliseconds))
            val text = (1..100).joinToString(" ")
            assertEquals(text, connect().exchange(text))
        }

        @Test
        fun `are held back by a delay`() {
            val socket = connect()
            socket.exchange("a")
            proxy.inject(ProxyFault.Delay(Direction.TO_CALLER, 1.minutes))
            socket.assertReceivesNothing()
        }
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 10_000
        const val SILENCE_MILLIS = 100
    }
}
