package org.shallotplank.core.membership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Instance

class SelectionTest {
    private val entries = (0 until 240).map {
        entry("entry-$it", zone = "zone-${it % 12}", region = "region-${it % 4}")
    }
    private val upstreams = (0 until 80).map {
        upstream("engine-$it", zone = "zone-${it % 12}", region = "region-${it % 4}")
    }

    @Nested
    inner class Peers {
        private val selection = PeerSelection()

        @Test
        fun `are mostly in the same zone and rarely in other regions`() {
            val self = entries[5]
            val peers = selection.peers(self, entries)
            assertEquals(6, peers.count { it.zone == self.zone })
            assertEquals(3, peers.count { it.zone != self.zone && it.region == self.region })
            assertEquals(1, peers.count { it.region != self.region })
        }

        @Test
        fun `are all others in a small system`() {
            val few = (0 until 4).map { entry("entry-$it", zone = "zone-$it") }
            assertEquals(few.drop(1), selection.peers(few[0], few).sortedBy { it.id.value })
        }

        @Test
        fun `connect all entries`() {
            val reached = mutableSetOf(entries[0])
            val open = ArrayDeque(reached)
            while (open.isNotEmpty()) {
                selection.peers(open.removeFirst(), entries).forEach {
                    if (reached.add(it)) open += it
                }
            }
            assertEquals(entries.size, reached.size)
        }

        @Test
        fun `do not change for entries that had not chosen the removed entry`() {
            val gone = entries[7]
            val changed = (entries - gone).count {
                val before = selection.peers(it, entries)
                gone !in before && before != selection.peers(it, entries - gone)
            }
            assertEquals(0, changed)
        }
    }

    @Nested
    inner class Candidates {
        private val bounds = CandidateBounds()
        private val selection = CandidateSelection(bounds)

        @Test
        fun `are bounded and cover every upstream evenly`() {
            val chosen = entries.associateWith { selection.candidates(it, entries, upstreams) }
            val users = upstreams.associateWith { upstream ->
                chosen.count { upstream in it.value }
            }
            assertTrue(chosen.values.all { it.size in 8..14 }, "${chosen.values.map { it.size }}")
            assertTrue(users.values.all { it in 12..40 }, "${users.values}")
        }

        @Test
        fun `use no upstream far more than the others`() {
            val many = List(100) { entry("entry-$it") }
            val all = List(200) { upstream("upstream-$it") }
            val wide = CandidateSelection(CandidateBounds(upstreamsPerEntry = 20))
            val uses = many.flatMap { wide.candidates(it, many, all) }.groupingBy { it }.eachCount()
            assertEquals(200, uses.size)
            assertTrue(uses.values.max() <= 25, "most used ${uses.values.max()}")
        }

        @Test
        fun `leave no upstream out when entries are few`() {
            val few = entries.take(4).map { it.copy(region = "region-0") }
            val own = upstreams.map { it.copy(region = "region-0") }
            val covered = few.flatMap { selection.candidates(it, few, own) }.toSet()
            assertEquals(own.toSet(), covered)
        }

        @Test
        fun `are in another region only when the region of the entry has none`() {
            val self = entries[0]
            val own = upstreams.filter { it.region == self.region }
            val near: List<Instance> = selection.candidates(self, entries, upstreams)
            assertTrue(own.containsAll(near))
            assertTrue(selection.candidates(self, entries, upstreams - own.toSet()).isNotEmpty())
        }
    }

    @Nested
    inner class Heartbeats {
        @Test
        fun `are less frequent when there are many links`() {
            val pacing = HeartbeatPacing(bytesPerHeartbeat = 50, bytesPerSecond = 1000)
            assertEquals(1.seconds, pacing.interval(10))
            assertEquals(10.seconds, pacing.interval(200))
        }
    }
}
