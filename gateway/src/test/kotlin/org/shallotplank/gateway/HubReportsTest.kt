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

    private companion object {
        /** The liveness timeout less the time until members of other zones get the report. */
        val MAX_AGE = 1.3.seconds
    }
}
