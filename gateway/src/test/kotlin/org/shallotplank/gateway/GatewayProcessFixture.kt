package org.shallotplank.gateway

import arrow.core.right
import java.io.OutputStream
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
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
import org.shallotplank.testsupport.LoopbackAddresses

/**
 * A whole gateway entry on loopback in front of [upstream], which is in zone `a`.
 *
 * Rows of operators are the names of the zones out of service.
 */
internal class GatewayProcessFixture(
    private val upstream: Address,
    tables: TestTables,
    private val stopGrace: Duration = 2.seconds
) {
    private val service = ServiceName("s")
    private val address = LoopbackAddresses.reserve()
    private val readinessAddress = LoopbackAddresses.reserve()
    private val clock = SteadyClock()

    val process = GatewayProcess(
        settings = settings(),
        headers = testHeaders,
        schema = StoreSchema(
            operatorTable = TestTables.OPERATORS,
            upstreamTable = TestTables.UPSTREAMS,
            entryTable = TestTables.ENTRIES,
            readOperatorRows = { rows ->
                val zones = rows.map { ZoneName(it.key) }.toPersistentSet()
                OperatorRows(routes(), zones, emptyList())
            },
            readUpstream = { record(it.key).right() }
        ),
        directory = DirectoryWire("/ready", "/lookup") { _, _ -> ByteArray(0) },
        store = { tables },
        ranks = { _, _ -> NoRanks },
        environment = GatewayEnvironment(
            clock = clock,
            random = Random(1),
            writer = JsonLogWriter("test", clock, Clock.System, OutputStream.nullOutputStream()),
            incarnation = 1,
            wallClock = Clock.System
        )
    )

    fun start(): Unit = process.start()

    fun connect() = Socket(address.host, address.port).apply { soTimeout = 5_000 }

    /** Whether the entry says that it is ready, which it ceases to be when it begins to stop. */
    fun isReady(): Boolean {
        val readiness = Socket(readinessAddress.host, readinessAddress.port)
        return readiness.use {
            it.soTimeout = 5_000
            it.send("GET /ready HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
            it.getInputStream().bufferedReader().readLine() == "HTTP/1.1 200 OK"
        }
    }

    /** Sends a request that may run once and returns the status line of its answer. */
    fun statusOfRequest(): String = connect().use { caller ->
        caller.send(request("unsafe"))
        caller.getInputStream().bufferedReader().readLine().orEmpty()
    }

    private fun routes() = RouteTable(
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
        readinessAddress = readinessAddress,
        directoryAddress = LoopbackAddresses.reserve(),
        peerAddress = LoopbackAddresses.reserve(),
        storeAddress = address,
        metricsPort = LoopbackAddresses.reserve().port,
        relayPort = null,
        maxConnections = 100,
        stopGrace = stopGrace,
        entryListTtl = 2.seconds,
        retryRatio = 0.2,
        retryWindow = 10.seconds,
        retrySlack = 100
    )

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
}
