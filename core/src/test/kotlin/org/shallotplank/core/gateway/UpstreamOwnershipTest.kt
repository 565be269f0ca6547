package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

class UpstreamOwnershipTest {
    private val zones = listOf("a", "b", "c", "d", "e")
    private val entries =
        List(20) { EntryLocation(InstanceId("entry-$it"), ZoneName(zones[it % 5])) }
    private val names = entries.map { it.instance }.toSet()
    private val upstreams = List(129) { listedUpstream("%03d".format(it), zones[it % 5]) }
        .map { GatewayUpstream(it.record) }
        .associateBy { it.key }
        .toPersistentMap()

    private fun ownershipsOf(own: InstanceId, serving: Set<InstanceId> = names) =
        upstreams.withOwnership(entries, own, serving)
            .mapValues { (_, upstream) -> upstream.ownership }

    private fun preferredBy(own: EntryLocation, serving: Set<InstanceId> = names) =
        ownershipsOf(own.instance, serving).filterValues { it?.isPreferred == true }.keys

    @Nested
    inner class EntriesThatAllServe {
        @Test
        fun `divide the upstreams evenly, with one owner for each`() {
            val owned = entries.map { preferredBy(it) }

            assertEquals(upstreams.keys, owned.flatten().toSet())
            assertEquals(upstreams.size, owned.sumOf { it.size })
            assertTrue(owned.all { it.size in 6..7 }, "${owned.map { it.size }}")
        }

        @Test
        fun `own mostly upstreams of their own zone`() {
            val sameZone = entries.sumOf { entry ->
                preferredBy(entry).count { upstreams.getValue(it).record.zone == entry.zone }
            }

            assertTrue(sameZone >= upstreams.size * 9 / 10, "$sameZone of ${upstreams.size}")
        }
    }

    @Nested
    inner class EntriesOfWhichSomeAreAway {
        @Test
        fun `prefer each upstream once, the next serving entry replacing an absent owner`() {
            val serving = names.shuffled(Random(3)).drop(7).toSet()
            val preferred = entries.filter { it.instance in serving }
                .map { preferredBy(it, serving) }

            assertEquals(upstreams.keys, preferred.flatten().toSet())
            assertEquals(upstreams.size, preferred.sumOf { it.size })
        }
    }

    /** Guards against entries that divide the limit of an upstream by different owners. */
    @Nested
    inner class UpstreamsThatOneEntryKeepsForTheirCounts {
        @Test
        fun `do not change who owns the listed ones`() {
            val own = entries.first().instance
            val ended = GatewayUpstream(listedUpstream("000-ended", "a").record, isListed = false)
            val divided = upstreams.put(ended.key, ended).withOwnership(entries, own, names)
            val listed = divided.remove(ended.key).mapValues { (_, upstream) -> upstream.ownership }
            assertEquals(ownershipsOf(own), listed)
        }
    }

    @Nested
    inner class FewUpstreams {
        @Test
        fun `are preferred by all entries`() {
            val few = upstreams.values.take(5).associateBy { it.key }.toPersistentMap()
            val owned = few.withOwnership(entries, entries.first().instance, names)

            assertTrue(owned.values.all { it.ownership?.isPreferred == true })
        }
    }

    /**
     * Guards against entries that refuse all requests while a zone is out of service: they owned
     * its upstreams, and the low rate of the others left no share for them.
     */
    @Nested
    inner class ManyEntriesWithAZoneOutOfService {
        private val zones = listOf("a", "b", "c")
        private val many = List(70) { EntryLocation(InstanceId("e%02d".format(it)), zone(it)) }
        private val engines = List(72) { listedUpstream("%02d".format(it), zones[it % 3]) }
            .map { GatewayUpstream(it.record) }
            .associateBy { it.key }
            .toPersistentMap()

        private fun zone(index: Int) = ZoneName(zones[index % 3])

        private fun sharesOf(own: EntryLocation, rate: Double): Map<UpstreamKey, Int> {
            val state = entryState(own, rate)
            return state.upstreams.filterValues { state.isInService(it) }
                .mapValues { (_, upstream) -> state.rateShareOf(rate, upstream) }
        }

        private fun entryState(own: EntryLocation, rate: Double): GatewayState {
            val names = many.map { it.instance }.toPersistentSet()
            val service = UpstreamService(testService, maxConnections = 100, rate)
            val routes = emptyRouteTable.copy(services = persistentMapOf(testService to service))
            val settings = GatewaySettings(own.instance, own.zone, 0.2, 10.seconds, 100)
            val state = GatewayState(
                settings = settings,
                routes = routes,
                upstreams = engines,
                entries = many.toPersistentSet(),
                servingEntries = names
            )
            val context = GatewayContext(Instant.fromEpochSeconds(1), Random(1))
            return state.onEvacuationsChanged(persistentSetOf(ZoneName("a")), context).state
        }

        @Test
        fun `leaves each entry upstreams that it may use, within their rates`() {
            val rate = 17.0
            val shares = many.map { sharesOf(it, rate) }

            assertEquals(emptyList(), many.filterIndexed { at, _ -> shares[at].values.sum() < 4 })
            for (key in shares.first().keys) {
                val total = shares.sumOf { it.getValue(key) }
                assertTrue(total <= rate, "$total of $rate for $key")
            }
        }

        @Test
        fun `changes no owner where each entry has a share of each upstream`() {
            val own = many.first()
            val whole = engines.withOwnership(many, own.instance, many.map { it.instance }.toSet())
            assertEquals(whole, entryState(own, rate = 200.0).upstreams)
        }
    }

    /** Load pattern: an engine turns cold while dozens of entries send requests to it. */
    @Nested
    inner class SharesOfARate {
        @Test
        fun `never add up to more than the rate`() {
            for (rate in 1..40) {
                for (count in 1..300) {
                    val shares = (0 until count).sumOf { rateShare(rate.toDouble(), it, count) }
                    assertTrue(shares <= rate, "$shares of $rate over $count entries")
                }
            }
        }

        @Test
        fun `leave half of the rate to the owner`() {
            assertEquals(7, rateShare(14.0, distance = 0, entryCount = 100))
        }
    }
}
