package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against entries that hubs lose although one of them reaches them. */
class HubReportsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterTest
    fun close() {
        group.shutdownGracefully()
    }

    private fun SimulatedHubs.assertAge(entry: String, hub: String) {
        val age = ageOf(entry, hub)
        assertTrue(age < MAX_AGE, "the report of $entry at $hub is $age old")
    }

    @Nested
    inner class AnEntryThatIsPolled {
        private val hubs = listOf("a1", "a2", "b1", "b2")

        /** Two hubs relied on each other's polls, so that both stopped to poll for 1.7 s. */
        @Test
        fun `is always polled by one of the hubs of its zone`() {
            val simulated = SimulatedHubs(group, hubs, polledOnly = setOf("a0"))
            simulated.run(1.seconds)
            simulated.run(20.seconds) { hubs.forEach { simulated.assertAge("a0", it) } }
        }

        /** The hubs of all other zones poll a zone without a hub, and relied on each other. */
        @Test
        fun `is always polled by another hub where its zone has none`() {
            val simulated = SimulatedHubs(group, hubs, polledOnly = setOf("c0"))
            simulated.run(1.seconds)
            simulated.run(20.seconds) { hubs.forEach { simulated.assertAge("c0", it) } }
        }

        /** The hub with the lower address does not reach the entry, and must not be relied on. */
        @Test
        fun `is polled by the hub that reaches it`() {
            val simulated = SimulatedHubs(group, hubs, polledOnly = setOf("a0")) { from, to ->
                from == "a1" && to == "a0"
            }
            simulated.run(1.seconds)
            simulated.run(20.seconds) { hubs.forEach { simulated.assertAge("a0", it) } }
        }
    }

    @Nested
    inner class ACutBetweenHubsOfTwoZones {
        private val hubs = listOf("a1", "a2", "b1", "b2")
        private val hubOfMember = mapOf("a3" to "a1", "a4" to "a2", "b3" to "b1", "b4" to "b2")

        /** Nobody passed on reports of the hub and its members, which the other side lost. */
        @Test
        fun `leaves both and their members in each other's view`() {
            val simulated = SimulatedHubs(group, hubs, hubOfMember = hubOfMember) { from, to ->
                setOf(from, to) == setOf("a1", "b1")
            }
            simulated.run(3.seconds)
            simulated.run(20.seconds) {
                listOf("a1", "a3", "a4").forEach { simulated.assertAge(it, "b1") }
                listOf("b1", "b3", "b4").forEach { simulated.assertAge(it, "a1") }
            }
        }
    }

    private companion object {
        /** The liveness timeout less the time until the members of the hub get the report. */
        val MAX_AGE = 1.3.seconds
    }
}
