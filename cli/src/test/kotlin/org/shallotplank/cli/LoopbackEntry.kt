package org.shallotplank.cli

import arrow.core.Either
import arrow.core.right
import java.io.OutputStream
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.delay
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport
import org.shallotplank.core.gateway.CredentialHolder
import org.shallotplank.core.gateway.GroupMembership
import org.shallotplank.core.gateway.RequestKind
import org.shallotplank.core.gateway.Route
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.RouteTarget
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.gateway.UpstreamService
import org.shallotplank.gateway.DirectoryWire
import org.shallotplank.gateway.GatewayEnvironment
import org.shallotplank.gateway.GatewayProcess
import org.shallotplank.gateway.HeaderNames
import org.shallotplank.gateway.OperatorRows
import org.shallotplank.gateway.SteadyClock
import org.shallotplank.gateway.StoreSchema
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
import org.shallotplank.testsupport.LoopbackAddresses

/** A gateway entry on loopback, before [count] ranks at [upstream] and no plain upstreams. */
internal class LoopbackEntry(private val upstream: Address, private val count: Int) {
    private val address = LoopbackAddresses.reserve()
    private val clock = SteadyClock()
    val metrics: Address = address.copy(port = LoopbackAddresses.reserve().port)

    private val process = GatewayProcess(
        settings = GatewayEntrySettings(
            instanceId = InstanceId("entry"),
            zone = ZoneName("a"),
            listenAddress = address,
            readinessAddress = LoopbackAddresses.reserve(),
            directoryAddress = LoopbackAddresses.reserve(),
            peerAddress = LoopbackAddresses.reserve(),
            storeAddress = address,
            metricsPort = metrics.port,
            relayPort = null,
            maxConnections = 100,
            stopGrace = 1.seconds,
            entryListTtl = 2.seconds,
            retryRatio = 0.2,
            retryWindow = 10.seconds,
            retrySlack = 100
        ),
        headers = HeaderNames(
            "Attempt", "Time-Left", "Key", "Customer", "Expect", "Priority", "Not-Run", "Load",
            "Leaving", "Retry-After", "Stamp", "Event-Id", "Parts", "Rate", "Tokens", "Hint"
        ),
        schema = StoreSchema(
            operatorTable = "operators",
            upstreamTable = "upstreams",
            entryTable = "entries",
            readOperatorRows = { OperatorRows(routes(), persistentSetOf(), emptyList()) },
            readUpstream = { record(it.key).right() }
        ),
        directory = DirectoryWire("/ready", "/lookup") { _, _ -> ByteArray(0) },
        store = { Rows((1..count).map { StoreRow("u$it", "{}", 1) }) },
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

    fun stop(): Unit = process.stop()

    private fun routes() = RouteTable(
        version = ConfigurationVersion(3),
        routes = persistentListOf(
            route("chat", RequestKind.STREAM, "model"),
            route("order", RequestKind.UNSAFE, "shop")
        ),
        services = listOf("model", "shop").map(::ServiceName).fold(persistentMapOf()) { all, name ->
            all.put(name, UpstreamService(name, maxConnections = 5))
        },
        customersByCredential = persistentMapOf(SECRET to CredentialHolder(CustomerName("alice"))),
        requiresCredentials = true
    )

    private fun route(name: String, kind: RequestKind, service: String) = Route(
        name = name,
        host = "h.example",
        pathPrefix = "/$name",
        kind = kind,
        targets = persistentListOf(RouteTarget(ServiceName(service), 1)),
        timeout = 5.seconds,
        goal = 1.seconds
    )

    private fun record(id: String) = UpstreamRecord(
        id = InstanceId(id),
        incarnation = 1,
        service = ServiceName("model"),
        address = upstream,
        zone = ZoneName("a"),
        slots = 4,
        isLeaving = id == "u1",
        group = GroupMembership("ring", rank = id.drop(1).toInt() - 1, size = count)
    )

    /** A store whose table of upstreams holds [rows]; no table changes. */
    private class Rows(private val rows: List<StoreRow>) : MetadataStore {
        private val revision = StoreRevision(era = 1, version = 1)

        override suspend fun read(table: String): Either<StoreFailure, TableContents> =
            TableContents(if (table == "upstreams") rows else emptyList(), revision).right()

        override suspend fun changes(
            table: String,
            since: StoreRevision,
            wait: Duration
        ): Either<StoreFailure, TableChanges> {
            delay(wait)
            return TableChanges(emptyList(), since).right()
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

    companion object {
        const val SECRET = "s3cret-of-alice"
    }
}
