package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId

/** Failure: an entry holds requests back for others that are silent or wait no more. */
class WaitingRequestsTest : GatewayReducerFixture() {
    private val urgent = testRoute(RequestKind.STREAM, "/urgent/")
    private val less = testRoute(RequestKind.STREAM, "/less/").copy(priority = 2)

    /** One of two entries before 20 slots, of which 5 are guaranteed to it; it uses 14. */
    private fun start(vararg routes: Route = arrayOf(urgent, less)) {
        emit(GatewayEvent.PeersReported(entryCount = 2, persistentMapOf()))
        serve(listedUpstream("u", slots = 20), table = testTable(routes = routes.toList()))
        now += 2.seconds
        repeat(14) { emit(arrival("r$it", RequestKind.STREAM, now, prefix = routes[0].pathPrefix)) }
    }

    private fun learn(byPriority: Map<Int, Int>) {
        val counts = persistentMapOf<Int, Int>().putAll(byPriority)
        val waiting = persistentMapOf(testService to WaitingRequests(counts, now))
        emit(GatewayEvent.WaitingLearned(InstanceId("other"), waiting))
    }

    private fun isSent(id: String, route: Route): Boolean =
        emit(arrival(id, RequestKind.STREAM, now, prefix = route.pathPrefix))
            .any { it is GatewayEffect.Send }

    @Nested
    inner class AnEntryAboveItsGuaranteedShare {
        @Test
        fun `holds less urgent requests back while more urgent ones wait elsewhere`() {
            start()
            learn(mapOf(0 to 20))
            assertEquals(false, isSent("held", less))
            assertEquals(true, isSent("urgent", urgent))
        }

        @Test
        fun `sends them when those that wait elsewhere are as urgent`() {
            start()
            learn(mapOf(2 to 20))
            assertEquals(true, isSent("sent", less))
        }

        @Test
        fun `sends them once the report is two seconds old`() {
            start()
            learn(mapOf(0 to 20))
            now += 1.seconds
            assertEquals(false, isSent("held", less))
            now += 1.seconds
            assertEquals(true, isSent("sent", less))
        }
    }

    @Nested
    inner class AServiceWithOnePriority {
        @Test
        fun `is served whatever others report`() {
            val routes = arrayOf(urgent.copy(priority = 2), less)
            start(*routes)
            learn(mapOf(0 to 20))
            assertEquals(true, isSent("sent", less))
            assertEquals(emptyMap(), state.waitingRequests)
        }
    }
}
