package org.shallotplank.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.shallotplank.core.Address
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.readHeaderLines
import org.shallotplank.gateway.send
import org.shallotplank.testsupport.LoopbackAddresses

/** Guards against messages of other processes that take all memory or stay counted. */
class MessageCounterTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private var dropped = 0
    private val budget = MemoryBudget(
        maxBytes = 0,
        messageReserveBytes = 1_000_000,
        onMessageRefused = { dropped++ },
        now = { Instant.fromEpochSeconds(1_000) }
    )

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun heldBytes(): Long = loop.submit<Long> { budget.messageBytes }.get()

    private fun awaitFreed() {
        repeat(100) {
            if (heldBytes() == 0L) return
            Thread.sleep(20)
        }
        assertEquals(0, heldBytes())
    }

    private fun serve(limits: EndpointLimits, answer: (EndpointRequest) -> HttpReply): Address {
        val address = LoopbackAddresses.reserve()
        HttpEndpoint(group, address, limits, answer).start()
        return address
    }

    @Test
    fun `answers that find no room are dropped and a later one is read`() {
        val address = serve(EndpointLimits()) { HttpReply(200, ByteArray(300_000)) }
        val clients = HttpClients(group, budget)
        val call = HttpCall("GET", "/")
        runBlocking(loop.asCoroutineDispatcher()) {
            val replies = List(6) { async { clients.to(address).call(call, 5.seconds) } }.awaitAll()
            assertTrue(replies.any { it.isLeft() }, "all of them were read")
            assertTrue(dropped > 0)
        }
        awaitFreed()
        runBlocking(loop.asCoroutineDispatcher()) {
            val reply = clients.to(address).call(call, 5.seconds).getOrNull()
            assertContentEquals(ByteArray(300_000), reply?.body)
        }
        awaitFreed()
    }

    @Test
    fun `requests count until they are answered or their connection closes`() {
        val address = serve(EndpointLimits(memory = budget)) {
            HttpReply(if (budget.messageBytes > 0) 200 else 500)
        }
        Socket(address.host, address.port).use { socket ->
            val head = "POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n"
            socket.send(head + "x".repeat(1_000))
            assertEquals("HTTP/1.1 200 OK", readHeaderLines(socket.getInputStream())?.first())
            awaitFreed()
            socket.send(head + "x".repeat(999))
            repeat(100) { if (heldBytes() == 0L) Thread.sleep(20) }
            assertEquals(1_998, heldBytes())
        }
        awaitFreed()
    }
}
