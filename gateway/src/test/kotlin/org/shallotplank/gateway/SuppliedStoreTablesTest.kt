package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.peer.SuppliedBatch
import org.shallotplank.gateway.peer.SuppliedRow
import org.shallotplank.gateway.peer.SuppliedTable
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreContact
import org.shallotplank.gateway.store.StoreRevision

/** Guards against a member that takes a hub's copies for more than they are. */
class SuppliedStoreTablesTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val dispatcher = group.next().asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher)
    private val client = HttpClient(group, Address("127.0.0.1", 1))

    /** Only changed on the event loop. */
    private var now = Instant.fromEpochSeconds(100)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private val shared = SharedTables().apply { put(TestTables.UPSTREAMS, "u", "{}") }
    private val calledTables = CopyOnWriteArrayList<String>()
    private val store = object : MetadataStore by shared {
        override suspend fun changes(table: String, since: StoreRevision, wait: Duration) =
            shared.changes(table, since, wait).also { calledTables += table }
    }
    private val fetchedEras = mutableListOf<Long?>()
    private val returnedAtChange = mutableListOf<Instant>()
    private val tables: StoreTables = StoreTables(
        settings = settings(),
        schema = StoreSchema(
            operatorTable = TestTables.OPERATORS,
            upstreamTable = TestTables.UPSTREAMS,
            entryTable = TestTables.ENTRIES,
            readOperatorRows = { OperatorRows(null, persistentSetOf(), emptyList()) },
            readUpstream = { error("not read") }
        ),
        clock = clock,
        random = Random(1),
        contact = StoreContact(clock),
        isHub = { false },
        entryCount = { 70 },
        isAfterLastSuspension = { true },
        fetch = { _, _, era ->
            fetchedEras += era
            null
        },
        onContact = ::onContact,
        log = {}
    )

    private fun onContact(table: String, replica: Any, isChanged: Boolean) {
        if (isChanged && replica === tables[table].replica) {
            returnedAtChange += tables.returnedAt
        }
    }

    @AfterTest
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun settings() = GatewayEntrySettings(
        instanceId = InstanceId("member"),
        zone = ZoneName("a"),
        listenAddress = ADDRESS,
        readinessAddress = ADDRESS,
        directoryAddress = ADDRESS,
        peerAddress = ADDRESS,
        storeAddress = ADDRESS,
        metricsPort = 1,
        relayPort = null,
        maxConnections = 1,
        stopGrace = 1.seconds,
        entryListTtl = 1.seconds,
        retryRatio = 0.2,
        retryWindow = 10.seconds,
        retrySlack = 1
    )

    /** Runs [block] on the event loop once all tables have been read. */
    private fun afterRead(block: suspend () -> Unit) = runBlocking {
        withTimeout(WAIT) {
            withContext(dispatcher) {
                tables.start(store, scope)
                while (!tables.isComplete) delay(10.milliseconds)
                block()
            }
        }
    }

    private fun supplied(
        name: String,
        contactAge: Duration = Duration.ZERO,
        returnedAge: Duration? = null,
        added: Long = 0,
        batches: List<SuppliedBatch> = emptyList()
    ) = SuppliedTable(
        name = name,
        era = tables[name].replica.revision.era,
        version = tables[name].replica.revision.version + added,
        contactAgeMillis = contactAge.inWholeMilliseconds,
        returnedAgeMillis = returnedAge?.inWholeMilliseconds,
        batches = batches
    )

    @Nested
    inner class ChangesAfterAnOutage {
        /** Rows that had expired in the outage counted as departures without their grace. */
        @Test
        fun `are applied after it is known when the store returned`() = afterRead {
            val version = tables[TestTables.UPSTREAMS].replica.revision.version
            val batch = SuppliedBatch(version, version + 1, listOf(SuppliedRow("u")))
            val table = supplied(
                TestTables.UPSTREAMS,
                returnedAge = 500.milliseconds,
                added = 1,
                batches = listOf(batch)
            )
            returnedAtChange.clear()
            tables.onSupplied(listOf(table), now, client)
            assertEquals(listOf(now - 500.milliseconds), returnedAtChange)
        }
    }

    @Nested
    inner class ATableWithAnOlderContactThanTheOthers {
        /** It was used for 600 ms more, although a contact does not count after 2 s. */
        @Test
        fun `is read from the store once its contact does not count`() = afterRead {
            val names = listOf(TestTables.OPERATORS, TestTables.ENTRIES)
            val older = supplied(TestTables.UPSTREAMS, contactAge = 1.9.seconds)
            tables.onSupplied(names.map { supplied(it) } + older, now, client)
            now += 200.milliseconds
            // One call may have begun before.
            calledTables.clear()
            while (calledTables.count { it == TestTables.UPSTREAMS } < 2) delay(20.milliseconds)
        }
    }

    @Nested
    inner class AFetchedCopy {
        /** Rows of a later era were stored under the earlier one; lost rows went unnoticed. */
        @Test
        fun `is of the era that the hub named`() = afterRead {
            tables.onSupplied(listOf(supplied(TestTables.UPSTREAMS, added = 5)), now, client)
            assertEquals(listOf<Long?>(1), fetchedEras)
        }

        @Test
        fun `is not given by an entry whose copy is of another era`() = afterRead {
            assertNotNull(tables.copy(TestTables.UPSTREAMS))
            assertNotNull(tables.copy(TestTables.UPSTREAMS, era = 1))
            assertNull(tables.copy(TestTables.UPSTREAMS, era = 2))
        }
    }

    private companion object {
        val ADDRESS = Address("127.0.0.1", 1)
        val WAIT = 15.seconds
    }
}
