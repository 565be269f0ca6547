package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.http.HttpEndpoint
import org.shallotplank.gateway.http.HttpReply
import org.shallotplank.gateway.peer.EXCHANGE_PATH
import org.shallotplank.gateway.peer.EntryExchange
import org.shallotplank.gateway.peer.ExchangeAnswer
import org.shallotplank.gateway.peer.ExchangeCaller
import org.shallotplank.gateway.peer.ExchangeContent
import org.shallotplank.gateway.peer.ExchangeContext
import org.shallotplank.gateway.peer.ExchangeRequest
import org.shallotplank.gateway.peer.ExchangedReport
import org.shallotplank.gateway.peer.HubLink
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.PeerView
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.decodeRequest
import org.shallotplank.gateway.peer.encode
import org.shallotplank.testsupport.LoopbackAddresses

/** Guards against an entry that ceases to exchange reports, or misdates its own. */
class ExchangeCallerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val dispatcher = group.next().asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val hub = LoopbackAddresses.reserve()
    private val requests = CopyOnWriteArrayList<ExchangeRequest>()

    /** Moves [clock] on while the entry makes its report. */
    private var reportTime = 0.seconds
    private var offset = 0.seconds
    private val clock = object : Clock {
        override fun now(): Instant = Clock.System.now() + offset
    }
    private val peers = Peers(
        clients = HttpClients(group),
        own = OWN,
        scope = scope,
        clock = clock,
        livenessTimeout = 2.seconds,
        log = {},
        onReport = { _, _ -> }
    ).apply { track(setOf(hub), emptySet()) }
    private val tables = PeerTables(emptyList(), clock)
    private val context = ExchangeContext(
        clients = HttpClients(group),
        scope = scope,
        clock = clock,
        random = Random(1),
        own = EntryLocation(InstanceId("member"), ZoneName("a")),
        ownAddress = OWN,
        incarnation = 1,
        maxPollingEntries = 1,
        isAfterLastSuspension = { true },
        report = {
            offset += reportTime
            report("member")
        },
        log = {},
        countCall = {}
    )
    private val endpoint = HttpEndpoint(group, hub) { request ->
        if (request.path == EXCHANGE_PATH) {
            decodeRequest(request.body) { error("unreadable: $it") }?.let { requests += it }
            HttpReply(200, answer(), HttpCall.CBOR)
        } else {
            HttpReply(404)
        }
    }

    @AfterTest
    fun close() {
        endpoint.close()
        scope.cancel()
        group.shutdownGracefully()
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun answer(): ByteArray {
        val report = Cbor.encodeToByteArray(report("hub"))
        return ExchangeAnswer(
            incarnation = 1,
            sentAtMillis = clock.now().toEpochMilliseconds(),
            isReportUsed = true,
            contentAgeMillis = 0,
            content = ExchangeContent(listOf(ExchangedReport(hub.toString(), 0, report))).encode()
        ).encode()
    }

    private fun report(instance: String) = PeerReport(
        instance = instance,
        incarnation = 1,
        publicAddress = "10.0.0.2:2",
        zone = "a",
        isReady = true,
        isStopping = false,
        tableVersions = emptyMap(),
        inFlight = emptyList(),
        crashes = emptyList()
    )

    private fun caller(follow: suspend (PeerView, HttpClient) -> Unit = { _, _ -> }) =
        ExchangeCaller(context, peers, tables, onReport = {}, follow = follow)

    private suspend fun ExchangeCaller.askUntilAnswered(link: HubLink) {
        while (!ask(link, isHub = false)) delay(20.milliseconds)
    }

    private fun <T> onEventLoop(block: suspend () -> T): T = runBlocking {
        withTimeout(WAIT) { withContext(dispatcher) { block() } }
    }

    @Nested
    inner class AFetchOfATableThatTheHubDoesNotAnswer {
        /** The fetch came before the next exchange, which it delayed by up to its timeout. */
        @Test
        fun `does not delay the next exchange`() {
            endpoint.start()
            val caller = caller { _, _ -> awaitCancellation() }
            val link = HubLink(HttpClients(group), hub)
            // The first call also loads the classes, which takes long on a loaded machine.
            onEventLoop { repeat(3) { caller.askUntilAnswered(link) } }
        }
    }

    @Nested
    inner class AHubThatDoesNotAnswer {
        /** Nobody else passes on the reports of its members, which expired in the 2 s. */
        @Test
        fun `is asked again by other hubs at once, but not by members`() {
            val link = HubLink(HttpClients(group), hub)
            assertFalse(onEventLoop { caller().ask(link, isHub = true) })
            assertTrue((peers.view(hub)?.avoidedUntil ?: clock.now()) < clock.now())
            assertFalse(onEventLoop { caller().ask(link, isHub = false) })
            assertTrue((peers.view(hub)?.avoidedUntil ?: clock.now()) > clock.now())
        }
    }

    @Nested
    inner class AReport {
        /** It counted from after it was made, and so seemed more recent than it was. */
        @Test
        fun `is dated before it is made`() {
            endpoint.start()
            val link = HubLink(HttpClients(group), hub)
            onEventLoop { caller().askUntilAnswered(link) }
            reportTime = 100.seconds
            onEventLoop { caller().ask(link, isHub = false) }
            val elapsed = requests.last().basis?.elapsedMillis ?: error("no basis")
            assertTrue(elapsed.milliseconds < reportTime, "dated $elapsed ms after the last answer")
        }
    }

    @Nested
    inner class AnExceptionInAReader {
        private fun assertStillAsks(onReport: (PeerView) -> Unit) {
            endpoint.start()
            val exchange = EntryExchange(context, peers, tables, onReport) { _, _ -> error("test") }
            val location = EntryLocation(InstanceId("hub"), ZoneName("b"))
            onEventLoop {
                exchange.start(emptySet())
                exchange.update(mapOf(hub to location), emptySet())
                while (requests.size < 3) delay(20.milliseconds)
            }
        }

        /** The loop of exchanges ended for good. */
        @Test
        fun `does not end the exchange`() = assertStillAsks { error("test") }

        @Test
        fun `of a table does not end the exchange`() = assertStillAsks {}
    }

    private companion object {
        val OWN = Address("10.0.0.2", 1)
        val WAIT = 10.seconds
    }
}
