package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.collections.immutable.toPersistentMap
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
