package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.http.HttpEndpoint
import org.shallotplank.gateway.http.HttpReply
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica
import org.shallotplank.testsupport.LoopbackAddresses

/**
 * All machines restart at once after a power loss.
 *
 * Rank groups have no keeper until an entry knows the others, so registration and the first peer
 * reports must not take long.
 */
class SimultaneousStartTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(group.next().asCoroutineDispatcher())

    @AfterTest
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    @Nested
    inner class AnEntryThatStarts {
        @Test
        fun `is registered as soon as it has read the tables`() {
            val store = SingleTableStore()
            val replica = TableReplica()
            val row = PeerRow(1, "10.0.0.1:1", "10.0.0.1:2", "a")
            val registration = Registration("e1", row, "t", store)
            scope.launch { registration.keep({ replica }) { true } }
            runBlocking {
                delay(120.milliseconds)
                assertEquals(emptyList(), store.keys)
                replica.replace(TableContents(emptyList(), StoreRevision(era = 1, version = 1)))
                delay(300.milliseconds)
            }
            assertEquals(listOf("entry/e1"), store.keys)
        }
    }

    @Nested
    inner class EntriesThatStartOneAfterTheOther {
        @Test
        fun `discover the later one within half a second`() {
            val (first, later) = List(2) { LoopbackAddresses.reserve() }
            val peers = Peers(
                clients = HttpClients(group),
                own = Address("127.0.0.1", 1),
                scope = scope,
                clock = Clock.System,
                livenessTimeout = 2.seconds,
                log = {},
                onReport = { _, _ -> }
            )
            start(first)
            group.next().submit { peers.pollOnly(setOf(first, later)) }.sync()
            // The first exchange also loads the classes, which takes long on a loaded machine.
            while (alive(peers) == 0) runBlocking { delay(50.milliseconds) }
            start(later)
            runBlocking { delay(500.milliseconds) }
            assertEquals(2, alive(peers))
        }

        private fun start(peer: Address) =
            HttpEndpoint(group, peer) { HttpReply(200, report(), HttpCall.CBOR) }.start()

        private fun alive(peers: Peers): Int = group.next().submit<Int> { peers.alive.size }.get()

        @OptIn(ExperimentalSerializationApi::class)
        private fun report(): ByteArray = Cbor.encodeToByteArray(
            PeerReport(
                instance = "e2",
                incarnation = 1,
                publicAddress = "10.0.0.2:2",
                zone = "a",
                isReady = true,
                isStopping = false,
                tableVersions = emptyMap(),
                inFlight = emptyList(),
                crashes = emptyList()
            )
        )
    }
}
