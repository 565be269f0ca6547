package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.expertmap.GroupKeeper
import org.shallotplank.core.expertmap.GroupKeeperSettings
import org.shallotplank.core.expertmap.KeeperStage
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport
import org.shallotplank.core.gateway.EngineProfile
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewaySettings
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.GatewayUpstream
import org.shallotplank.core.gateway.GroupMembership
import org.shallotplank.core.gateway.PlacementProfile
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.gateway.UpstreamService
import org.shallotplank.gateway.group.GroupKeepers
import org.shallotplank.gateway.group.GroupLease
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.group.KeeperContext
import org.shallotplank.gateway.group.LeaseGuard
import org.shallotplank.gateway.group.RankAddress
import org.shallotplank.gateway.group.RankCounts
import org.shallotplank.gateway.group.RankExperts
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.group.RunningKeeper
import org.shallotplank.gateway.store.TableReplica

/**
 * Hand-over of a rank group's keeper between entries whose ranks do not check fences.
 *
 * Guards against a group that has no keeper while demand changes, and against two entries that keep
 * it at the same time, when entries stop, end or become unreachable one after another.
 */
class KeeperHandOverTest {
    private var now = Instant.fromEpochMilliseconds(1_000_000)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private val store = SingleTableStore()
    private var current = state
    private val entries = listOf("e1", "e2", "e3").map { Entry(KeeperCandidate(it, 1)) }

    private fun advance(time: Duration) {
        repeat((time / TICK).toInt()) {
            now += TICK
            entries.filter { it.isRunning }.forEach { it.keepers.tick(now) }
        }
    }

    private fun holder(): String? = store.replica.rows.singleOrNull()?.value

    private fun keeper(): Entry? = entries.filter { it.isActive(now) }.also {
        assertTrue(it.size <= 1, "${it.map { entry -> entry.own }} are active at the same time")
    }.singleOrNull()

    @Nested
    inner class AKeeperThatStops {
        @Test
        fun `is replaced within a second`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.stop()
            advance(1.seconds)
            assertTrue(keeper() != null && keeper() != first, "kept by ${keeper()?.own}")
        }

        @Test
        fun `stays replaced after it has become unreachable`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.stop()
            advance(1.seconds)
            first.isRunning = false
            first.isReachable = false
            repeat(8) {
                advance(500.milliseconds)
                assertTrue(keeper() != null)
            }
        }

        @Test
        fun `is replaced within a second even if the next keeper stops at once`() {
            advance(3.seconds)
            checkNotNull(keeper()).stop()
            advance(1.seconds)
            checkNotNull(keeper()).stop()
            advance(1.seconds)
            assertTrue(keeper()?.isStopping == false)
        }
    }

    /** Guards against a rank group that nobody keeps after one of its ranks has restarted. */
    @Nested
    inner class ARankThatEnded {
        @Test
        fun `does not keep its group from being kept while entries keep its counts`() {
            val ended = upstreams.last().copy(
                record = upstreams.last().record.copy(id = InstanceId("ended"), isLeaving = true),
                isListed = false
            )
            current = state.copy(upstreams = state.upstreams.put(ended.key, ended))
            advance(3.seconds)
            assertTrue(keeper() != null)
        }
    }

    /** All entries start together and have not received each other's reports yet. */
    @Nested
    inner class AnEntryThatHasJustStarted {
        @Test
        fun `does not claim the lease before it could receive the report of the holder`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.isReachable = false
            entries.forEach { it.readySince = now }
            val lease = holder()
            advance(1.seconds)
            assertEquals(lease, holder())

            first.isReachable = true
            advance(3.seconds)
            assertEquals(first, keeper())
        }

        @Test
        fun `claims the lease without delay if the holder has ended`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.isRunning = false
            first.hasRestarted = true
            entries.forEach { it.readySince = now }
            advance(1.seconds)
            assertTrue(keeper() != null && keeper() != first)
        }
    }

    @Nested
    inner class AKeeperThatHasEnded {
        @Test
        fun `sends no more requests or orders when answers in flight arrive`() {
            val port = CountingPort().apply { mapVersion = 7 }
            val keeper = running(port)
            keeper.tick(now, pauses = null)
            now += 200.milliseconds
            port.gate = CompletableDeferred()
            keeper.tick(now, pauses = null)
            val calls = port.calls

            keeper.end()
            port.gate.complete(Unit)
            assertEquals(calls, port.calls)
        }
    }

    /** Guards against a late order for a version that means another map by then. */
    @Nested
    inner class AKeeperThatStartsAgainInTheSameTerm {
        @Test
        fun `uses no version again`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.cutOff()
            entries.filter { it != first }.forEach { it.isRunning = false }
            advance(5.seconds)
            assertTrue(!first.isActive(now))
            first.reconnect()
            advance(1.seconds)
            assertTrue(first.isActive(now))
            val versions = first.port.preparedVersions.distinct()
            assertEquals(2, versions.size, "prepared $versions")
        }
    }

    /** Guards against orders under a new fencing number while those of the last one may arrive. */
    @Nested
    inner class AKeeperUnderANewFence {
        @Test
        fun `continues only while no change is in progress`() {
            val keeper = running(CountingPort())
            assertTrue(!keeper.continueUnder(fence = 20_000), "continued during the survey")

            keeper.tick(now, pauses = null)
            now += 200.milliseconds
            keeper.tick(now, pauses = null)
            assertTrue(keeper.continueUnder(fence = 20_000))
            assertEquals(2, keeper.term)
        }
    }

    /** Guards against a holder that begins by the time of its claim, or by the answer to it. */
    @Nested
    inner class AClaim {
        @Test
        fun `counts from when its row is read, whatever the answer to it`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.cutOff()
            advance(1.seconds)
            val second = entries.single { holder()?.contains(it.own.instance) == true }
            assertTrue(second != first)
            val seenAt = now
            repeat(76) {
                advance(50.milliseconds)
                assertTrue(!second.isActive(now), "active ${now - seenAt} after its claim")
            }
        }
    }

    @Nested
    inner class AKeeperThatIsOnlySilent {
        @Test
        fun `is replaced only after the time in which it may issue orders`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.isReachable = false
            advance(4.seconds)
            assertTrue(entries.none { it != first && it.isActive(now) })
            first.isRunning = false
            advance(3.seconds)
            assertTrue(keeper() != null && keeper() != first)
        }

        /** Guards against a restart that shows only that the last holder of the lease has ended. */
        @Test
        fun `is not replaced early if the entry that claimed its lease restarts`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.cutOff()
            advance(1.seconds)
            val second = entries.single { holder()?.contains(it.own.instance) == true }
            assertTrue(second != first)
            second.isRunning = false
            second.hasRestarted = true
            repeat(40) {
                advance(50.milliseconds)
                keeper()
            }
        }

        @Test
        fun `is not replaced early if the entry that claimed its lease stops`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.isReachable = false
            advance(1.seconds)
            entries.single { holder()?.contains(it.own.instance) == true }.stop()
            advance(2.seconds)
            assertTrue(entries.none { it != first && it.isActive(now) })
        }
    }

    /** Guards against two keepers when an entry reports as left what it kept in an earlier term. */
    @Nested
    inner class AnEntryThatKeptTheGroupBefore {
        @Test
        fun `hands over no lease that it has claimed again and not begun to keep`() {
            advance(3.seconds)
            val first = checkNotNull(keeper())
            first.stop()
            advance(1.seconds)
            val second = checkNotNull(keeper())
            val third = entries.single { it != first && it != second }
            first.isStopping = false
            third.stop()
            advance(1.seconds)
            second.cutOff()
            advance(1.seconds)
            assertTrue(holder()?.contains(first.own.instance) == true)
            third.isStopping = false
            first.stop()
            repeat(40) {
                advance(50.milliseconds)
                keeper()
            }
        }
    }

    /** Guards against terms given out twice, and holders that the store has lost. */
    @Nested
    inner class AStoreThatIsRestored {
        private fun term(): Long = Json.decodeFromString<GroupLease>(checkNotNull(holder())).term

        @Test
        fun `gives out no term again`() {
            advance(3.seconds)
            val copy = store.copy()
            val terms = mutableListOf(term())
            repeat(2) {
                checkNotNull(keeper()).stop()
                advance(1.seconds)
                terms += term()
            }
            entries.forEach { it.isStopping = false }
            store.restore(copy)
            advance(2.seconds)
            assertTrue(term() > terms.max(), "term ${term()} after $terms")
        }

        @Test
        fun `gets a keeper again in time`() {
            advance(3.seconds)
            store.restore(store.copy())
            advance(7.seconds)
            assertTrue(keeper() != null)
        }

        @Test
        fun `gets none while one that its copy does not know may issue orders`() {
            advance(3.seconds)
            val copy = store.copy()
            val first = checkNotNull(keeper())
            first.stop()
            advance(1.seconds)
            val second = checkNotNull(keeper())
            second.cutOff()
            store.restore(copy)
            repeat(160) {
                advance(50.milliseconds)
                keeper()
            }
            assertEquals(entries.single { it != first && it != second }, keeper())
        }
    }

    private fun running(port: RankPort) = RunningKeeper(
        initial = GroupKeeper(
            group = "g",
            fence = 1,
            ranks = 2,
            placement = placement,
            settings = GroupKeeperSettings(
                sampledRanks = 2,
                countInterval = 150.milliseconds,
                popularityHalfLife = 400.milliseconds,
                maxLoadsPerRank = 2,
                minGain = 0.05
            ),
            stage = KeeperStage.Surveying(now)
        ),
        ranks = upstreams.associate {
            checkNotNull(it.record.group).rank to RankAddress(it.record.id, it.record.address)
        },
        port = port,
        scope = CoroutineScope(Dispatchers.Unconfined),
        clock = clock,
        mayIssueOrders = { true },
        delegateHold = { OrderOutcome.NO_ANSWER },
        log = {}
    )

    private inner class Entry(val own: KeeperCandidate) {
        var isRunning = true
        var isStopping = false
        var isReachable = true
        private var cutOffAt: Instant? = null
        private var lastRead: TableReplica? = null
        var hasRestarted = false
        var readySince = Instant.DISTANT_PAST
        val port = CountingPort()
        val keepers = GroupKeepers(
            context = KeeperContext(
                own = own,
                candidates = ::candidates,
                state = {
                    current.copy(
                        plannedStop = plannedStop.takeIf { isStopping },
                        readySince = readySince
                    )
                },
                table = "t",
                replica = { lastRead ?: store.replica },
                replicaReadAt = { cutOffAt ?: now },
                confirmations = { emptyList() },
                hasLeft = { candidate, group ->
                    entries.any { it.own == candidate && it.isKnownToHaveLeft(group) }
                },
                hasRestarted = { candidate ->
                    entries.any { it.own == candidate && it.hasRestarted }
                },
                guard = LeaseGuard(
                    areFencesChecked = false,
                    clock = clock,
                    wallClock = clock
                ),
                delegateHold = { OrderOutcome.NO_ANSWER },
                clock = clock,
                log = {}
            ),
            store = store,
            port = port,
            scope = CoroutineScope(Dispatchers.Unconfined)
        )

        fun stop() {
            isStopping = true
        }

        /** Separates the entry from the store and from the other entries. */
        fun cutOff() {
            isReachable = false
            cutOffAt = now
            lastRead = TableReplica().also { it.replace(store.copy()) }
        }

        fun reconnect() {
            isReachable = true
            cutOffAt = null
            lastRead = null
        }

        fun isKnownToHaveLeft(group: String): Boolean =
            isReachable && group in keepers.relinquishedGroups

        fun isActive(now: Instant): Boolean = now - port.lastCallAt < 250.milliseconds

        private fun candidates(): List<KeeperCandidate> = entries
            .filter { it.isRunning && !it.isStopping && (it.isReachable || it.own == own) }
            .map { it.own }
    }

    private inner class CountingPort : RankPort {
        var calls = 0
        var lastCallAt = Instant.DISTANT_PAST
        val preparedVersions = mutableListOf<Long>()
        var mapVersion = 0L
        var gate = CompletableDeferred(Unit)

        private suspend fun note() {
            calls++
            lastCallAt = now
            gate.await()
        }

        override suspend fun report(rank: RankAddress): RankReport {
            note()
            return RankReport(
                epoch = 1,
                isFormed = true,
                step = 5,
                mapVersion = mapVersion,
                isFresh = true
            )
        }

        override suspend fun counts(rank: RankAddress): RankCounts {
            note()
            return RankCounts(1, 5, persistentListOf(1, 1, 1, 1))
        }

        override suspend fun experts(rank: RankAddress): RankExperts? {
            note()
            return null
        }

        override suspend fun sendOrder(
            rank: RankAddress,
            order: RankOrder,
            epoch: Long,
            fence: Long
        ): OrderOutcome {
            note()
            if (order is RankOrder.Prepare) preparedVersions += order.version
            return OrderOutcome.DONE
        }

        override suspend fun sendDelegatedOrder(
            rank: RankAddress,
            order: RankOrder,
            epoch: Long,
            fence: Long
        ): OrderOutcome = sendOrder(rank, order, epoch, fence)

        override fun keepOnly(ranks: Set<RankAddress>) = Unit
    }

    private companion object {
        val TICK = 50.milliseconds
        val plannedStop =
            GatewayEvent.StopRequested(Instant.DISTANT_FUTURE, Instant.DISTANT_FUTURE)
        val service = ServiceName("s")
        val placement = PlacementProfile(
            layers = 1,
            expertsPerLayer = 4,
            slotsPerRank = 3,
            spareSlots = 1,
            expertCopyTime = 10.milliseconds
        )
        val upstreams = (0 until 2).map { rank ->
            GatewayUpstream(
                UpstreamRecord(
                    id = InstanceId("r$rank"),
                    incarnation = 1,
                    service = service,
                    address = Address("10.0.0.$rank", 80),
                    zone = ZoneName("a"),
                    slots = 4,
                    isLeaving = false,
                    group = GroupMembership("g", rank, size = 2)
                )
            )
        }
        val state = GatewayState(
            settings = GatewaySettings(
                instance = InstanceId("e"),
                zone = ZoneName("a"),
                retryRatio = 0.2,
                retryWindow = 10.seconds,
                retrySlack = 10
            ),
            routes = RouteTable(
                version = ConfigurationVersion(1),
                routes = persistentListOf(),
                services = persistentMapOf(
                    service to UpstreamService(
                        service,
                        maxConnections = 5,
                        engine = EngineProfile(1, 1.milliseconds, placement)
                    )
                )
            ),
            upstreams = upstreams.associateBy { it.key }.toPersistentMap()
        )
    }
}
