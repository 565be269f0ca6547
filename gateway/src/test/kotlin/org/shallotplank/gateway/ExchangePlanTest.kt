package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.gateway.peer.ExchangeEntry
import org.shallotplank.gateway.peer.ExchangePlan
import org.shallotplank.gateway.peer.ExchangeState
import org.shallotplank.gateway.peer.ExchangeState.AWAY
import org.shallotplank.gateway.peer.ExchangeState.SERVING
import org.shallotplank.gateway.peer.ExchangeState.STARTING
import org.shallotplank.gateway.peer.ExchangeState.UNKNOWN
import org.shallotplank.gateway.peer.planExchange

/** Guards against entries that no other entry sees, whichever hubs fail. */
class ExchangePlanTest {
    private fun entry(index: Int, state: ExchangeState = SERVING, isCovered: Boolean = true) =
        ExchangeEntry(
            instance = InstanceId("e%02d".format(index)),
            address = address(index),
            zone = ZoneName("abc"[index % 3].toString()),
            state = state,
            isCovered = isCovered
        )

    private fun address(index: Int) = Address("10.0.0.$index", 1)

    private fun addresses(vararg indexes: Int) = indexes.map(::address).toSet()

    /** Entries 0 to 29 in zones a, b and c by turns, as changed by [change]. */
    private fun entries(change: (ExchangeEntry) -> ExchangeEntry = { it }) =
        List(30) { change(entry(it)) }

    private fun List<ExchangeEntry>.planOf(index: Int, isAsked: Boolean = false): ExchangePlan =
        planExchange(
            own = this[index],
            others = filterIndexed { other, _ -> other != index },
            maxPollingEntries = 24,
            isAsked = isAsked
        )

    private fun ExchangeEntry.isIn(vararg indexes: Int) = address in addresses(*indexes)

    @Nested
    inner class UpToTheNumberOfPollingEntries {
        @Test
        fun `each entry polls all others`() {
            val few = List(24) { entry(it) }
            val expected = ExchangePlan(polled = few.map { it.address }.toSet() - address(5))
            assertEquals(expected, few.planOf(5))
        }
    }

    @Nested
    inner class AboveTheNumberOfPollingEntries {
        @Test
        fun `a member asks the hubs of its zone first and polls nobody`() {
            val plan = entries().planOf(29)
            assertEquals(addresses(2, 5), plan.sources.take(2).toSet())
            assertEquals(addresses(0, 1, 2, 3, 4, 5), plan.sources.toSet())
            assertEquals(emptySet(), plan.hubs + plan.polled)
        }

        @Test
        fun `members spread over the hubs of their zone`() {
            val first = (6..29).map { entries().planOf(it).sources.first() }.toSet()
            assertEquals(addresses(0, 1, 2, 3, 4, 5), first)
        }

        @Test
        fun `a hub asks all other hubs`() {
            assertEquals(ExchangePlan(hubs = addresses(1, 2, 3, 4, 5)), entries().planOf(0))
        }

        @Test
        fun `an entry that others use as their hub acts as one`() {
            assertEquals(addresses(0, 1, 2, 3, 4, 5), entries().planOf(9, isAsked = true).hubs)
        }
    }

    @Nested
    inner class AHubThatFails {
        @Test
        fun `is asked last and replaced by the other hub at once`() {
            val entries = entries { it.copy(isAvoided = it.isIn(2)) }
            assertEquals(address(5), entries.planOf(29).sources.first())
        }

        @Test
        fun `is replaced by a hub of another zone if the other one fails too`() {
            val entries = entries { it.copy(isAvoided = it.isIn(2, 5)) }
            assertEquals(addresses(0, 1, 3, 4), entries.planOf(29).sources.toSet())
        }

        @Test
        fun `leaves direct polling if all fail`() {
            val entries = entries { it.copy(isAvoided = it.isIn(0, 1, 2, 3, 4, 5)) }
            assertEquals(29, entries.planOf(29).polled.size)
        }

        @Test
        fun `ceases to be a hub when it ends or is silent`() {
            val entries = entries { if (it.isIn(2)) it.copy(state = AWAY) else it }
            assertEquals(addresses(5, 8), entries.planOf(29).sources.take(2).toSet())
            assertTrue(entries.planOf(8).hubs.isNotEmpty())
        }

        @Test
        fun `is polled by the other hub of its zone while no report of it comes`() {
            val entries = entries {
                if (it.isIn(2)) it.copy(state = AWAY, isCovered = false) else it
            }
            assertEquals(addresses(2), entries.planOf(5).polled)
            assertEquals(emptySet(), entries.planOf(0).polled)
        }
    }

    @Nested
    inner class EntriesOfOlderBuilds {
        private val entries = entries {
            if (it.isIn(2, 11)) it.copy(offersExchange = false, isCovered = false) else it
        }

        @Test
        fun `are no hubs`() =
            assertEquals(addresses(5, 8), entries.planOf(29).sources.take(2).toSet())

        @Test
        fun `are polled by the hubs of their zone`() {
            assertEquals(addresses(2, 11), entries.planOf(5).polled)
            assertEquals(emptySet(), entries.planOf(29).polled)
        }
    }

    @Nested
    inner class AZoneWithoutHubs {
        private val entries = entries {
            if (it.zone.value == "c") it.copy(offersExchange = false, isCovered = false) else it
        }

        @Test
        fun `has its entries polled by the hubs of the other zones`() {
            val zone = entries.filter { it.zone.value == "c" }.map { it.address }.toSet()
            assertEquals(zone, entries.planOf(0).polled)
        }

        @Test
        fun `lets its entries of this build ask hubs of other zones`() {
            val away = entries { if (it.zone.value == "c") it.copy(state = AWAY) else it }
            assertEquals(addresses(0, 1, 3, 4), away.planOf(29).sources.toSet())
        }
    }

    @Nested
    inner class EntriesThatStartTogether {
        @Test
        fun `agree on hubs although none is known to serve`() {
            val entries = entries { it.copy(state = UNKNOWN, isCovered = false) }
            assertEquals(addresses(2, 5), entries.planOf(29).sources.take(2).toSet())
            val own = entries.map { if (it.isIn(29)) it.copy(state = STARTING) else it }
            assertEquals(addresses(2, 5), own.planOf(29).sources.take(2).toSet())
        }

        @Test
        fun `ask the one that serves as soon as it is known`() {
            val entries = entries {
                it.copy(state = if (it.isIn(14)) SERVING else STARTING, isCovered = false)
            }
            assertEquals(address(14), entries.planOf(29).sources.first())
        }
    }
}
