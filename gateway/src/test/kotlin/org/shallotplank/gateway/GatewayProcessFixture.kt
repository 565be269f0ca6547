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
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.testsupport.LoopbackAddresses

/**
 * A whole gateway entry on loopback in front of [upstream], which is in zone `a`.
 *
 * Rows of operators are the names of the zones out of service.
 */
internal class GatewayProcessFixture(
    private val upstream: Address,
    tables: MetadataStore,
    private val stopGrace: Duration = 2.seconds,
    private val instance: String = "entry",
    private val zone: String = "a",
    private val maxPollingEntries: Int = 24,
    private val incarnation: Long = 1
) {
    private val service = ServiceName("s")
    private val address = LoopbackAddresses.reserve()
    private val readinessAddress = LoopbackAddresses.reserve()
    private val directoryAddress = LoopbackAddresses.reserve()
    private val metricsPort = LoopbackAddresses.reserve().port
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
        directory = DirectoryWire("/ready", "/lookup") { addresses, _ ->
            addresses.joinToString(",").toByteArray()
        },
        store = { TimedTables(tables) },
        ranks = { _, _ -> NoRanks },
        environment = GatewayEnvironment(
            clock = clock,
            random = Random(1),
            writer = JsonLogWriter("test", clock, Clock.System, OutputStream.nullOutputStream()),
            incarnation = incarnation,
            wallClock = Clock.System
        )
    )

    fun start(): Unit = process.start()

    fun connect() = Socket(address.host, address.port).apply { soTimeout = 5_000 }

    /** Whether the entry says that it is ready, which it ceases to be when it begins to stop. */
    fun isReady(): Boolean = get(readinessAddress, "/ready").startsWith("HTTP/1.1 200 OK")

    /** Number of entries that this one lists for callers. */
    fun listedEntries(): Int = get(directoryAddress, "/lookup").substringAfter("\r\n\r\n")
        .split(",").count { ":" in it }

    /** The value of the first line of its metrics that begins with [start], 0 without one. */
    fun metric(start: String): Double = get(address.copy(port = metricsPort), "/metrics").lines()
        .find { it.startsWith(start) }?.substringAfterLast(" ")?.toDouble() ?: 0.0

    private fun get(from: Address, path: String): String = Socket(from.host, from.port).use {
        it.soTimeout = 5_000
        it.send("GET $path HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
        it.getInputStream().bufferedReader().readText()
    }

    /** Sends [request], which may run once, and returns the status line of its answer. */
    fun statusOfRequest(request: String = request("unsafe")): String = connect().use { caller ->
        caller.send(request)
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
        instanceId = InstanceId(instance),
        zone = ZoneName(zone),
        listenAddress = address,
        readinessAddress = readinessAddress,
        directoryAddress = directoryAddress,
        peerAddress = LoopbackAddresses.reserve(),
        storeAddress = address,
        metricsPort = metricsPort,
        relayPort = null,
        maxConnections = 100,
        stopGrace = stopGrace,
        entryListTtl = 2.seconds,
        retryRatio = 0.2,
        retryWindow = 10.seconds,
        retrySlack = 100,
        maxPollingEntries = maxPollingEntries
    )

    /** [tables] with the time of day as the store's clock, which all fixtures share. */
    private inner class TimedTables(tables: MetadataStore) : MetadataStore by tables {
        override val clockOffset: Duration get() = Clock.System.now() - clock.now()
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
}
