package org.shallotplank.gateway

import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.relay.RankRelay
import org.shallotplank.testsupport.LoopbackAddresses

class RankRelayTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun close(): Unit = open.forEach { it.close() }

    /** A connection to a relay whose engine answers a request with [respond]. */
    private fun connect(respond: (Socket) -> Unit): Socket {
        val engine = ScriptedUpstream { _, socket, _ -> respond(socket) }.also { open += it }
        val address = LoopbackAddresses.reserve()
        RankRelay(address, engine.address) { }.also { open += it }.start()
        val socket = Socket(address.host, address.port).also { open += it }
        socket.soTimeout = 5_000
        socket.send("GET /report HTTP/1.1\r\nHost: h.example\r\n\r\n")
        return socket
    }

    /** Guards against half an engine's answer that keepers take for a whole one. */
    @Nested
    inner class AnAnswerThatEndsWithItsConnection {
        @Test
        fun `ends in the same way behind the relay`() {
            val keeper = connect {
                it.send(LONG)
                it.close()
            }
            assertEquals(LONG, String(keeper.getInputStream().readAllBytes()))
        }

        @Test
        fun `is reset behind the relay if its connection was reset`() {
            val isBegun = CountDownLatch(1)
            val keeper = connect {
                it.send("half")
                isBegun.await()
                it.reset()
            }
            assertEquals("half", String(keeper.getInputStream().readNBytes(4)))
            isBegun.countDown()
            assertFailsWith<SocketException> { keeper.getInputStream().read() }
        }
    }

    private companion object {
        /** More than the relay can write at once to a keeper that does not read yet. */
        val LONG = "long".repeat(2_000_000)
    }
}
