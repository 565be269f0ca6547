package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.group.GroupLease
import org.shallotplank.gateway.group.KeeperCandidate

/**
 * Deputies and fencing numbers of a lease.
 *
 * Guards against a group that has no keeper after the lease holder has ended, while the store is
 * unreachable and demand changes.
 */
class GroupLeaseTest {
    private val first = KeeperCandidate("e1", 11)
    private val second = KeeperCandidate("e2", 21)
    private val third = KeeperCandidate("e3", 31)
    private val all = listOf(first, second, third)
    private val lease = GroupLease("e1", 11, term = 3).withDeputies(all)

    /** Guards against rows that builds which do not know of this read as another lease. */
    @Nested
    inner class OnceTheHolderHasBegun {
        private val claimed = GroupLease("e1", 11, term = 3)
        private val row =
            """{"holder":"e1","incarnation":11,"term":3,"deputies":[""" +
                """{"instance":"e1","incarnation":11,"slot":1}]}"""

        @Test
        fun `the row names the holder as its own deputy`() {
            assertEquals(row, Json.encodeToString(claimed.established()))
            assertTrue(Json.decodeFromString<GroupLease>(row).isEstablished)
            assertFalse(claimed.isEstablished)
        }

        @Test
        fun `its fencing number stays and nobody else keeps the group`() {
            val established = claimed.established()
            assertEquals(claimed.fenceOf(first, all), established.fenceOf(first, all))
            assertNull(established.fenceOf(second, listOf(second)))
        }
    }

    @Nested
    inner class WhileTheHolderServes {
        @Test
        fun `no deputy keeps the group`() {
            assertNotNull(lease.fenceOf(first, all))
            assertNull(lease.fenceOf(second, all))
            assertNull(lease.fenceOf(third, all))
        }
    }

    @Nested
    inner class OnceTheHolderIsAway {
        @Test
        fun `the first deputy that serves keeps the group`() {
            assertNotNull(lease.fenceOf(second, listOf(second, third)))
            assertNull(lease.fenceOf(third, listOf(second, third)))
            assertNotNull(lease.fenceOf(third, listOf(third)))
        }

        @Test
        fun `a restarted deputy does not keep the group`() {
            val restarted = second.copy(incarnation = 22)

            assertNull(lease.fenceOf(restarted, listOf(restarted)))
            assertFalse(lease.isServed(listOf(restarted)))
        }

        @Test
        fun `fencing numbers rise from the holder through its deputies to the next term`() {
            val fences = listOf(
                lease.fenceOf(first, listOf(first)),
                lease.fenceOf(second, listOf(second)),
                lease.fenceOf(third, listOf(third)),
                GroupLease("e3", 31, term = 4).fenceOf(third, listOf(third))
            ).map { assertNotNull(it) }

            assertEquals(fences.sorted().distinct(), fences)
        }
    }

    @Nested
    inner class WhenEntriesComeAndGo {
        @Test
        fun `a slot is never reused for another entry`() {
            val fourth = KeeperCandidate("e4", 41)
            val without = lease.withDeputies(listOf(first, second))
            val changed = without.withDeputies(listOf(first, second, fourth))
            val slots = (lease.deputies + changed.deputies)
                .associate { it.slot to it.candidate }

            assertEquals(slots.size, slots.values.toSet().size)
            assertTrue((lease.deputies + changed.deputies).all { slots[it.slot] == it.candidate })
        }

        @Test
        fun `deputies that stay keep their slots`() {
            val changed = lease.withDeputies(listOf(first, third))

            assertEquals(
                lease.deputies.single { it.candidate == third },
                changed.deputies.single { it.candidate == third }
            )
        }

        @Test
        fun `the number of slots of one term is bounded`() {
            val last = (0 until 200).fold(lease) { known, round ->
                known.withDeputies(listOf(first, KeeperCandidate("x", round.toLong())))
            }

            assertTrue(last.deputies.all { it.slot < 20 })
        }
    }
}
