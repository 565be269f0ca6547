package org.shallotplank.gateway

import arrow.core.right
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.store.StoreContact

/**
 * Guards against upstreams that are used long after they left, and against ones that are dropped
 * although their rows only expired, around outages of the store (DRAIN).
 *
 * All outages are simulated in virtual time, at many moments relative to the calls of the entry.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreReturnTest {
    /** One entry's copy of the list of upstreams, as [ClusterView] connects it. */
    private class Entry(
        private val scope: TestScope,
        store: SimulatedStore,
        seed: Int,
        private val peer: Entry? = null
    ) {
        private val clock = object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(scope.currentTime)
        }
        private val upstreams = ObservedUpstreams(
            read = { row -> recordOf(row.key).right() },
            returnGrace = GRACE,
            log = {}
        )
        private val tables: StoreTables = StoreTables(
            settings = settings(),
            schema = StoreSchema(
                operatorTable = TestTables.OPERATORS,
                upstreamTable = UPSTREAM_TABLE,
                entryTable = TestTables.ENTRIES,
                readOperatorRows = { OperatorRows(null, persistentSetOf(), emptyList()) },
                readUpstream = { error("not read") }
            ),
            clock = clock,
            random = Random(seed),
            contact = StoreContact(clock, GRACE),
            isHub = { false },
            entryCount = { 4 },
            isAfterLastSuspension = { true },
            fetch = { _, table, era -> peer?.tables?.copy(table, era) },
            onContact = { table, replica, isChanged ->
                if (isChanged && table == UPSTREAM_TABLE) {
                    upstreams.update(replica, returnedAt(), clock.now())
                }
            },
            log = {}
        )

        init {
            tables.start(store, scope.backgroundScope)
        }

        private fun returnedAt(): Instant = tables.returnedAt

        /** Adopts the tables that [peer] offers in a report of now. */
        suspend fun pollPeer(client: HttpClient) {
            val report = PeerReport(
                instance = "peer",
                incarnation = 1,
                publicAddress = "$ADDRESS",
                zone = "a",
                isReady = true,
                isStopping = false,
                tableVersions = checkNotNull(peer).tables.versions,
                inFlight = emptyList(),
                crashes = emptyList()
            )
            tables.adopt(report, client)
        }

        fun listed(): Set<String> {
            val confirmedAt = tables[UPSTREAM_TABLE].confirmedAt
            upstreams.expire(clock.now(), tables.returnedAt, confirmedAt)
            return upstreams.listed().map { it.record.id.value }.toSet()
        }
    }

    /**
     * Plays [events] at their times and returns who was listed in each tick.
     *
     * @param startedAt when the entry starts.
     */
    private fun listedOver(
        time: Duration,
        seed: Int,
        events: List<Pair<Duration, SimulatedStore.() -> Unit>>,
        startedAt: Duration = Duration.ZERO
    ): Map<Duration, Set<String>> {
        val listed = LinkedHashMap<Duration, Set<String>>()
        runTest {
            val store = SimulatedStore { currentTime.milliseconds }
            UPSTREAMS.forEach { store.put(UPSTREAM_TABLE, it) }
            var entry: Entry? = null
            val pending = ArrayDeque(events.sortedBy { it.first })
            while (currentTime.milliseconds < time) {
                while (pending.isNotEmpty() && pending.first().first <= currentTime.milliseconds) {
                    pending.removeFirst().second(store)
                }
                if (entry == null && currentTime.milliseconds >= startedAt) {
                    entry = Entry(this, store, seed)
                }
                testScheduler.advanceTimeBy(TICK)
                testScheduler.runCurrent()
                entry?.let { listed[currentTime.milliseconds] = it.listed() }
            }
        }
        return listed
    }

    private fun lapse(key: String): SimulatedStore.() -> Unit = { remove(UPSTREAM_TABLE, key) }

    private fun register(key: String): SimulatedStore.() -> Unit = { put(UPSTREAM_TABLE, key) }

    private fun outage(from: Duration, to: Duration) = listOf<
        Pair<Duration, SimulatedStore.() -> Unit>
        >(
        from to { isSilent = true },
        to to { isSilent = false }
    )

    private fun assertGoneFrom(time: Duration, key: String, listed: Map<Duration, Set<String>>) {
        val late = listed.filter { it.key >= time && key in it.value }.keys
        assertTrue(late.isEmpty(), "$key is listed until ${late.maxOrNull()}, bound $time")
    }

    private fun assertAlwaysListed(key: String, listed: Map<Duration, Set<String>>) {
        val missing = listed.filter { it.key >= READ_TIME && key !in it.value }.keys
        assertTrue(missing.isEmpty(), "$key is missing from ${missing.minOrNull()}")
    }

    /** Moments of an outage's begin relative to the entry's calls, and seeds of its backoffs. */
    private fun forEachPhase(play: (begin: Duration, seed: Int) -> Unit) {
        for (phase in 0 until PHASES) play(5.seconds + PHASE_STEP * phase, phase)
    }

    @Nested
    inner class AnUpstreamThatLeftJustBeforeAnOutage {
        private fun assertGoneInTime(length: Duration, change: Duration? = null) =
            forEachPhase { begin, seed ->
                val end = begin + length
                val noise = change?.let { (begin - it) to register("other") }
                val events = listOfNotNull(noise, (begin - 50.milliseconds) to lapse("a")) +
                    outage(begin, end)
                val listed = listedOver(end + 6.seconds, seed, events)
                assertGoneFrom(maxOf(begin + 2.seconds, end + CONTACT_TIME), "a", listed)
                assertAlwaysListed("b", listed)
            }

        @Test
        fun `is not used once the entry is in touch again`() {
            for (length in OUTAGES) assertGoneInTime(length)
        }

        @Test
        fun `nor if the table had changed just before`() {
            for (length in OUTAGES) assertGoneInTime(length, change = 150.milliseconds)
        }

        @Test
        fun `nor after a second outage`() = forEachPhase { begin, seed ->
            val end = begin + 7.2.seconds
            val events = listOf((begin - 50.milliseconds) to lapse("a")) +
                outage(begin, begin + 3.1.seconds) +
                outage(begin + 4.1.seconds, end)
            val listed = listedOver(end + 6.seconds, seed, events)
            assertGoneFrom(end + CONTACT_TIME, "a", listed)
        }
    }

    @Nested
    inner class UpstreamsWhoseRowsExpiredInAnOutage {
        @Test
        fun `stay in use until they could register again`() {
            for (length in OUTAGES.filter { it >= HEARTBEAT * 2 }) {
                for (delay in listOf(0.seconds, 1.seconds, 1.9.seconds)) {
                    forEachPhase { begin, seed ->
                        val end = begin + length
                        val expiry = begin + HEARTBEAT * 2
                        val events = outage(begin, end) + UPSTREAMS.map { expiry to lapse(it) } +
                            UPSTREAMS.map { (end + delay) to register(it) }
                        val listed = listedOver(end + 5.seconds, seed, events)
                        UPSTREAMS.forEach { assertAlwaysListed(it, listed) }
                    }
                }
            }
        }

        @Test
        fun `stay in use over a second outage that begins before they could`() {
            forEachPhase { begin, seed ->
                val end = begin + 9.seconds
                val events = outage(begin, begin + 4.5.seconds) +
                    outage(begin + 5.5.seconds, end) +
                    UPSTREAMS.map { (begin + 3.seconds) to lapse(it) } +
                    UPSTREAMS.map { (end + 1.9.seconds) to register(it) }
                val listed = listedOver(end + 5.seconds, seed, events)
                UPSTREAMS.forEach { assertAlwaysListed(it, listed) }
            }
        }

        @Test
        fun `are removed when they do not`() = forEachPhase { begin, seed ->
            val end = begin + 4.5.seconds
            val events = outage(begin, end) + ((begin + 3.seconds) to lapse("a"))
            assertGoneFrom(end + CONTACT_TIME, "a", listedOver(end + 6.seconds, seed, events))
        }
    }

    @Nested
    inner class AnEntryThatStartsDuringAnOutage {
        @Test
        fun `lists those that are registered soon after it`() = forEachPhase { begin, seed ->
            val end = begin + 9.seconds
            val events = outage(begin, end) + ((begin + 3.seconds) to lapse("a")) +
                ((end + 1.seconds) to register("a"))
            val startedAt = begin + 2.seconds
            val listed = listedOver(end + 4.seconds, seed, events, startedAt)
            assertEquals(UPSTREAMS.toSet(), listed.getValue(listed.keys.last()))
            assertTrue("b" in listed.entries.first { it.key >= end + 800.milliseconds }.value)
        }
    }

    @Nested
    inner class AnEntryThatIsCutOffFromAStoreThatIsWell {
        @Test
        fun `drops nobody but who left meanwhile, and that one in time`() {
            forEachPhase { begin, seed ->
                val end = begin + 5.seconds
                val events = outage(begin, end) + ((begin + 1.seconds) to lapse("a"))
                val listed = listedOver(end + 6.seconds, seed, events)
                assertGoneFrom(end + CONTACT_TIME, "a", listed)
                assertAlwaysListed("b", listed)
            }
        }
    }

    /** Guards against copies from other entries in which expired rows look like departures. */
    @Nested
    inner class AnEntryThatReachesTheStoreLaterThanTheOthers {
        private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

        @AfterTest
        fun close() {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        }

        @Test
        fun `keeps the upstreams of a copy until they could register again, and no longer`() =
            forEachPhase { begin, seed ->
                val end = begin + 6.seconds
                runTest {
                    val client = HttpClient(group, ADDRESS)
                    val stores = List(2) { SimulatedStore { currentTime.milliseconds } }
                    UPSTREAMS.forEach { key -> stores.forEach { it.put(UPSTREAM_TABLE, key) } }
                    val peer = Entry(this, stores[0], seed)
                    val late = Entry(this, stores[1], seed + 1, peer)
                    val events = listOf<Pair<Duration, SimulatedStore.() -> Unit>>(
                        (begin + 3.seconds) to { remove(UPSTREAM_TABLE, "a") },
                        (begin + 3.seconds) to { remove(UPSTREAM_TABLE, "b") },
                        (end + 1.9.seconds) to { put(UPSTREAM_TABLE, "a") }
                    )
                    val pending = ArrayDeque(events)
                    while (currentTime.milliseconds < end + 6.seconds) {
                        val now = currentTime.milliseconds
                        stores[0].isSilent = now in begin..end
                        stores[1].isSilent = now >= begin
                        while (pending.firstOrNull()?.let { it.first <= now } == true) {
                            val event = pending.removeFirst().second
                            stores.forEach { it.event() }
                        }
                        late.pollPeer(client)
                        advanceTimeBy(POLL_INTERVAL)
                        val listed = late.listed()
                        if (now >= READ_TIME) assertTrue("a" in listed, "a is missing at $now")
                        if (now >= end + 4.seconds) assertFalse("b" in listed, "b at $now")
                    }
                }
            }
    }

    private companion object {
        const val UPSTREAM_TABLE = TestTables.UPSTREAMS
        val POLL_INTERVAL = 250.milliseconds
        val UPSTREAMS = listOf("a", "b", "c")

        /** Lengths of outages, the last one as long as any that is announced. */
        val OUTAGES = listOf(0.2, 0.8, 1.4, 1.9, 2.2, 2.9, 3.3, 4.5, 6.7, 9.0).map { it.seconds }
        const val PHASES = 20
        val PHASE_STEP = 97.milliseconds
        val TICK = 50.milliseconds
        val GRACE = 2.seconds
        val CONTACT_TIME = 3.seconds
        val HEARTBEAT = 1.2.seconds

        /** Time for the first read. */
        val READ_TIME = 1.seconds
        val ADDRESS = Address("127.0.0.1", 1)

        fun recordOf(id: String) = UpstreamRecord(
            id = InstanceId(id),
            incarnation = 1,
            service = ServiceName("s"),
            address = ADDRESS,
            zone = ZoneName("a"),
            slots = 4,
            isLeaving = false
        )

        fun settings() = GatewayEntrySettings(
            instanceId = InstanceId("entry"),
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
    }
}
