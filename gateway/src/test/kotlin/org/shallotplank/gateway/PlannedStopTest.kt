package org.shallotplank.gateway

import arrow.core.Either
import arrow.core.right
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport
import org.shallotplank.core.gateway.RequestKind
import org.shallotplank.core.gateway.Route
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.RouteTarget
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.gateway.UpstreamService
import org.shallotplank.gateway.group.RankAddress
import org.shallotplank.gateway.group.RankCounts
import org.shallotplank.gateway.group.RankExperts
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.log.JsonLogWriter
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreFailure
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents

/** Guards against requests that end without an answer when an entry stops as planned. */
class PlannedStopTest {
    private val release = CountDownLatch(1)
    private val upstream = ScriptedUpstream { request, socket, _ ->
        release.await()
        socket.send(answer(request))
    }
    private val entry = Entry(upstream.address)

    @AfterTest
    fun close() {
        release.countDown()
        upstream.close()
    }

    private fun stop(): Thread = thread { entry.process.stop() }

    /** The status line that the caller has received when the process ends; empty if none. */
    private fun Socket.statusAtEnd(stopping: Thread): String {
        stopping.join()
        soTimeout = POLL_MILLIS.toInt()
        return runCatching { getInputStream().bufferedReader().readLine() }.getOrNull().orEmpty()
    }

    @Nested
    inner class ARequestThatRunsAtTheEndOfTheGrace {
        @Test
        fun `is answered as one that may have run`() {
            entry.connect().use { caller ->
                caller.send(request("unsafe"))
                while (upstream.requests.isEmpty()) Thread.sleep(POLL_MILLIS)
                assertEquals("HTTP/1.1 502 Bad Gateway", caller.statusAtEnd(stop()))
            }
        }
    }

    @Nested
    inner class ARequestThatArrivesLateInTheGrace {
        @Test
        fun `is refused unrun if it could outlast the grace`() {
            entry.connect().use { caller ->
                val text = request("unsafe")
                caller.send(text.take(HALF))
                Thread.sleep(POLL_MILLIS)
                val stopping = stop()
                Thread.sleep(LATE_MILLIS)
                caller.send(text.drop(HALF))
                val status = caller.statusAtEnd(stopping)
                assertEquals("HTTP/1.1 503 Service Unavailable", status)
                assertTrue(upstream.requests.isEmpty())
            }
        }
    }

    /** A gateway entry with a grace of two seconds, which announces its stop for one. */
    private class Entry(private val upstream: Address) {
        private val service = ServiceName("s")
        private val address = freeAddress()
        private val clock = SteadyClock()
        val process = GatewayProcess(
            settings = settings(),
            headers = testHeaders,
            schema = StoreSchema(
                operatorTable = "operators",
                upstreamTable = "upstreams",
                entryTable = "entries",
                readOperatorRows = { OperatorRows(table(), persistentSetOf(), emptyList()) },
                readUpstream = { record(it.key).right() }
            ),
            directory = DirectoryWire("/ready", "/lookup") { _, _ -> ByteArray(0) },
            store = { FixedStore },
            ranks = { _, _ -> NoRanks },
            environment = GatewayEnvironment(
                clock = clock,
                random = Random(1),
                writer =
                JsonLogWriter("test", clock, Clock.System, OutputStream.nullOutputStream()),
                incarnation = 1,
                wallClock = Clock.System
            )
        )

        init {
            process.start()
        }

        fun connect() = Socket(address.host, address.port).apply { soTimeout = 5_000 }

        private fun table() = RouteTable(
            version = ConfigurationVersion(1),
            routes = persistentListOf(
                Route(
                    name = "unsafe",
                    host = "h.example",
                    pathPrefix = "/unsafe/",
                    kind = RequestKind.UNSAFE,
                    targets = persistentListOf(RouteTarget(service, 1)),
                    timeout = 5.seconds,
                    goal = 1.seconds,
                    maxAttempts = 1
                )
            ),
            services = persistentMapOf(service to UpstreamService(service, maxConnections = 5))
        )

        private fun record(id: String) = UpstreamRecord(
            id = InstanceId(id),
            incarnation = 1,
            service = service,
            address = upstream,
            zone = ZoneName("a"),
            slots = 4,
            isLeaving = false
        )

        private fun settings() = GatewayEntrySettings(
            instanceId = InstanceId("entry"),
            zone = ZoneName("a"),
            listenAddress = address,
            readinessAddress = freeAddress(),
            directoryAddress = freeAddress(),
            peerAddress = freeAddress(),
            storeAddress = address,
            metricsPort = freeAddress().port,
            relayPort = null,
            maxConnections = 100,
            stopGrace = 2.seconds,
            entryListTtl = 2.seconds,
            retryRatio = 0.2,
            retryWindow = 10.seconds,
            retrySlack = 100
        )

        private fun freeAddress() = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    }

    /** Tables of one row each that never change. */
    private object FixedStore : MetadataStore {
        private val revision = StoreRevision(era = 1, version = 1)

        override suspend fun read(table: String): Either<StoreFailure, TableContents> =
            TableContents(listOf(StoreRow("row", "{}", 1)), revision).right()

        override suspend fun changes(
            table: String,
            since: StoreRevision,
            wait: Duration
        ): Either<StoreFailure, TableChanges> {
            delay(wait)
            return TableChanges(emptyList(), emptyList(), revision).right()
        }

        override suspend fun write(
            table: String,
            key: String,
            value: String,
            expected: StoreRevision
        ): Either<StoreFailure, StoreRevision> = revision.right()

        override suspend fun delete(
            table: String,
            key: String,
            expected: StoreRevision
        ): Either<StoreFailure, Unit> = Unit.right()
    }

    private object NoRanks : RankPort {
        override suspend fun report(rank: RankAddress): RankReport? = null

        override suspend fun counts(rank: RankAddress): RankCounts? = null

        override suspend fun experts(rank: RankAddress): RankExperts? = null

        override suspend fun sendOrder(
            rank: RankAddress,
            order: RankOrder,
            epoch: Long,
            fence: Long
        ): OrderOutcome = OrderOutcome.NO_ANSWER

        override suspend fun sendDelegatedOrder(
            rank: RankAddress,
            order: RankOrder,
            epoch: Long,
            fence: Long
        ): OrderOutcome = OrderOutcome.NO_ANSWER

        override fun keepOnly(ranks: Set<RankAddress>) = Unit
    }

    private companion object {
        const val POLL_MILLIS = 20L

        /** After the stop was announced and before the end of the grace. */
        const val LATE_MILLIS = 1_100L
        const val HALF = 40
    }
}
