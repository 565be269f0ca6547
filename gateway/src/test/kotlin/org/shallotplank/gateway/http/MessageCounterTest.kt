package org.shallotplank.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
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

    private fun serve(answer: (EndpointRequest) -> HttpReply): Address {
        val address = LoopbackAddresses.reserve()
        HttpEndpoint(group, address, answer).start()
        return address
    }

    @Test
    fun `answers that find no room are dropped and a later one is read`() {
        val address = serve { HttpReply(200, ByteArray(300_000)) }
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
}
