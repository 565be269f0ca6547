package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.http.HttpEndpoint
import org.shallotplank.gateway.http.HttpReply
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.testsupport.LoopbackAddresses

/** Guards against entries that at once forget what a restored store has lost. */
class LostRowsTest {
    private val upstream = ScriptedUpstream { request, socket, _ -> socket.send(answer(request)) }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val copy = mapOf(TestTables.UPSTREAMS to listOf(StoreRow("u", "{}", 1)))

    private fun entry(tables: TestTables): GatewayProcessFixture =
        GatewayProcessFixture(upstream.address, tables).apply { start() }

    @AfterTest
    fun close() {
        upstream.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    @Nested
    inner class AZoneThatWasTakenOutOfService {
        @Test
        fun `stays out until its row could be written again`() {
            val tables = TestTables(copy + (TestTables.OPERATORS to listOf(StoreRow("a", "", 1))))
            val entry = entry(tables)
            assertEquals(UNAVAILABLE, entry.statusOfRequest())
            tables.restore(copy)
            Thread.sleep(NOTICED_MILLIS)
            assertEquals(UNAVAILABLE, entry.statusOfRequest())
            assertTrue(upstream.requests.isEmpty())

            val end = Clock.System.now() + 10.seconds
            while (entry.statusOfRequest() != OK) assertTrue(Clock.System.now() < end)
        }
    }

    @Nested
    inner class AnEntryThatHadRegistered {
        @Test
        fun `is asked for its reports until it could register again`() {
            val address = LoopbackAddresses.reserve()
            val polls = AtomicInteger()
            val other = HttpEndpoint(group, address) {
                polls.incrementAndGet()
                HttpReply(NOT_FOUND)
            }
            other.start()
            val value = Json.encodeToString(PeerRow(1, "$address", "$address", "a"))
            val tables =
                TestTables(copy + (TestTables.ENTRIES to listOf(StoreRow("entry/e", value, 1))))
            entry(tables)
            val end = Clock.System.now() + 10.seconds
            while (polls.get() == 0) assertTrue(Clock.System.now() < end)

            tables.restore(copy)
            Thread.sleep(NOTICED_MILLIS)
            val before = polls.get()
            Thread.sleep(SEVERAL_POLLS_MILLIS)
            assertTrue(polls.get() > before)
        }
    }

    private companion object {
        const val OK = "HTTP/1.1 200 OK"
        const val UNAVAILABLE = "HTTP/1.1 503 Service Unavailable"
        const val NOT_FOUND = 404
        const val NOTICED_MILLIS = 500L

        /** Ends before the time in which lost rows are kept. */
        const val SEVERAL_POLLS_MILLIS = 1_100L
    }
}
