package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId

/**
 * Guards against requests for a rank that is several times slower than the others of its group, on
 * which the iterations of all streams then wait.
 */
class SlowUpstreamTest : GatewayReducerFixture() {
    @Nested
    inner class OneOf63EnginesThatIsFiveTimesSlower {
        @Test
        fun `gets no request while the others have room`() {
            serveEngines(63)
            reportSlowdowns("1" to 5.0)

            assertEquals(0, sendsToFirst(count = 62 * SLOTS))
        }

        @Test
        fun `does not count as capacity`() {
            serveEngines(63)
            sendsToFirst(count = 1)
            reportSlowdowns("1" to 5.0)

            assertEquals(62 * SLOTS, capacity)
        }

        @Test
        fun `keeps its running requests in the capacity until they end`() {
            serveEngines(2)
            sendsToFirst(count = 4)
            reportSlowdowns("1" to 5.0)

            assertEquals(SLOTS + 2, capacity)
        }

        @Test
        fun `gets requests one at a time after its slowdown has ended for a while`() {
            serveEngines(63)
            reportSlowdowns("1" to 5.0)
            pass(1.seconds)
            reportSlowdowns()
            pass(400.milliseconds)
            assertEquals(0, slowSlots)

            pass(200.milliseconds)
            assertEquals(1, slowSlots)
            pass(3.seconds)
            assertNull(state.upstreams.getValue(firstKey).slow)
        }

        @Test
        fun `is taken back only once although its slowdown varies`() {
            serveEngines(63)
            repeat(20) {
                reportSlowdowns(*(if (it % 2 == 0) arrayOf("1" to 5.0) else emptyArray()))
                pass(200.milliseconds)
                assertEquals(0, slowSlots)
            }
        }
    }

    @Nested
    inner class AnEngineThatIsALittleSlower {
        @Test
        fun `gets as many requests as keep iterations within the acceptable pause`() {
            serveEngines(12)
            reportSlowdowns("1" to 1.5)

            assertTrue(slowSlots in 2 until SLOTS, "$slowSlots")
        }

        @Test
        fun `gets all requests while full engines have pauses far below the acceptable one`() {
            serveEngines(12)
            repeat(60) { arrive("r$it", RequestKind.STREAM) }
            emit(
                GatewayEvent.PausesObserved(mapOf(testService to 50.milliseconds).toPersistentMap())
            )
            reportSlowdowns("1" to 1.5)

            assertNull(state.upstreams.getValue(firstKey).slow)
        }
    }

    @Test
    fun `nothing is limited without a report of a slowdown`() {
        serveEngines(63)
        reportSlowdowns()

        assertTrue(state.upstreams.values.all { it.slow == null })
    }

    @Test
    fun `half of the slots remain however many engines are slow`() {
        serveEngines(8)
        reportSlowdowns(*(1..6).map { "$it" to 4.0 + it }.toTypedArray())

        val limited = state.upstreams.values.filter { it.slow != null }.map { it.record.id.value }
        assertEquals(setOf("3", "4", "5", "6"), limited.toSet())
    }

    @Test
    fun `a slow upstream gets requests if it is the only one left`() {
        serveEngines(2)
        emit(
            GatewayEvent.UpstreamNotice(
                UpstreamKey(InstanceId("2"), 1),
                isLeaving = false,
                pause = 10.seconds
            )
        )
        reportSlowdowns("1" to 5.0)

        assertEquals(firstKey, sent("r", RequestKind.STREAM).upstream)
    }

    @Test
    fun `upstreams of a service without engines are not limited`() {
        serve(*listed(12))
        reportSlowdowns("1" to 5.0)

        assertTrue(state.upstreams.values.all { it.slow == null })
    }

    private val firstKey = UpstreamKey(InstanceId("1"), 1)
    private val slowSlots: Int? get() = state.upstreams.getValue(firstKey).slow?.slots
    private val capacity: Int get() = state.queues.getValue(testService).capacity

    private fun listed(count: Int) =
        Array(count) { listedUpstream("${it + 1}", slots = SLOTS, address = "10.0.1.$it") }

    private fun serveEngines(count: Int) {
        val route = testRoute(RequestKind.STREAM).copy(longestPause = 150.milliseconds)
        serve(*listed(count), table = testTable(engine = engine, routes = listOf(route)))
    }

    private fun reportSlowdowns(vararg slowdowns: Pair<String, Double>) {
        emit(
            GatewayEvent.PeersReported(
                entryCount = 1,
                inFlight = emptyMap<UpstreamKey, Int>().toPersistentMap(),
                slowdowns = slowdowns.associate { (id, slowdown) -> InstanceId(id) to slowdown }
                    .toPersistentMap()
            )
        )
    }

    private fun pass(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 50.milliseconds
            emit(GatewayEvent.Tick)
        }
    }

    /** Sends [count] streams, which all run, and returns how many went to the first upstream. */
    private fun sendsToFirst(count: Int): Int =
        (1..count).count { sent("r$it", RequestKind.STREAM).upstream == firstKey }

    private companion object {
        const val SLOTS = 7
        val engine = EngineProfile(eventStride = 5, stepTime = 4_550.milliseconds / 1_000)
    }
}
