package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId

/**
 * Guards against streams that stay on a slow rank and delay the streams of all ranks of its group,
 * and against streams that are moved without need, more than once or against their kind.
 */
class MovedStreamsTest : GatewayReducerFixture() {
    @Nested
    inner class StreamsOnARankThatTurnedSlow {
        @Test
        fun `go on at another rank once the slowdown has lasted`() {
            runStreams(count = 4)
            assertEquals(emptyList(), slowFor(400.milliseconds))

            val effects = slowFor(1.seconds)
            val cancelled = effects.filterIsInstance<GatewayEffect.CancelAttempt>()
            val sent = effects.filterIsInstance<GatewayEffect.Send>()
            assertEquals(2, cancelled.size)
            assertEquals(cancelled.map { it.requestId }, sent.map { it.requestId })
            assertTrue(sent.all { it.upstream == other && it.attempt == 2 }, "$sent")
            assertEquals(mapOf(other to 4), state.inFlight)
        }

        @Test
        fun `go on when they have not begun`() {
            runStreams(count = 2, isBegun = false)

            assertEquals(1, slowFor(2.seconds).count { it is GatewayEffect.Send })
        }

        @Test
        fun `are moved a few at a time`() {
            runStreams(count = 8)
            slowFor(450.milliseconds)

            val most = (1..20).maxOf {
                slowFor(50.milliseconds).count { effect -> effect is GatewayEffect.Send }
            }
            assertEquals(2, most)
        }

        @Test
        fun `are moved once`() {
            runStreams(count = 12, engines = 3)
            val moved = sentIn(slowFor(1.seconds))
            assertEquals(4, moved.size)

            val later = sentIn(slowFor(1.seconds, slow = "2"))
            assertTrue(later.isNotEmpty())
            assertEquals(emptySet(), moved intersect later)
        }

        @Test
        fun `stay within the retry budget`() {
            runStreams(count = 12)

            val moved = slowFor(3.seconds, entryCount = 100).count { it is GatewayEffect.Send }
            assertEquals(1, moved, "budget is 0.7 of 0.2 of 12 requests and 0.2")
        }

        @Test
        fun `stay while no other rank has a free slot`() {
            runStreams(count = 2 * SLOTS)

            assertEquals(emptyList(), slowFor(2.seconds))
        }

        @Test
        fun `stay while pauses are acceptable`() {
            runStreams(count = 4)

            assertEquals(emptyList(), slowFor(2.seconds, pause = 140.milliseconds))
        }

        @Test
        fun `stay after the slowdown has ended`() {
            runStreams(count = 4)
            slowFor(400.milliseconds)

            assertEquals(emptyList(), slowFor(2.seconds, slow = null))
        }
    }

    @Nested
    inner class StreamsWhoseCheapestRankIsFull {
        // Guards against a stream that is moved to a full rank and ends there on its last attempt.
        @Test
        fun `go on at a rank with a free slot`() {
            serveEngines(engines = 1)
            repeat(4) { begin("r$it", sent("r$it", RequestKind.STREAM)) }
            val far = listedUpstream("3", zone = "b", slots = 20)
            val listed = listOf(listedUpstream("1", slots = SLOTS), full, far)
            emit(GatewayEvent.UpstreamsListed(listed.toPersistentList()))
            val inFlight = persistentMapOf(keyOf(full) to 100, keyOf(far) to 19)

            val sent = slowFor(1.seconds, inFlight = inFlight)
                .filterIsInstance<GatewayEffect.Send>()
            assertEquals(listOf(keyOf(far)), sent.map { it.upstream })
        }

        private val full = listedUpstream("2", slots = 100)

        private fun keyOf(upstream: ListedUpstream) = UpstreamKey(upstream.record.id, 1)
    }

    @Nested
    inner class OtherRequestsOnASlowRank {
        @Test
        fun `stay there if they are not idempotent`() {
            val kinds = listOf(testRoute(RequestKind.STREAM).copy(isResumable = false)) +
                listOf(RequestKind.UNSAFE, RequestKind.SAFE).map { testRoute(it) }
            serveEngines(kinds)
            RequestKind.entries.forEach { kind ->
                repeat(4) { begin("${kind.name}$it", sent("${kind.name}$it", kind)) }
            }

            assertEquals(emptyList(), slowFor(2.seconds))
        }
    }

    private val other = UpstreamKey(InstanceId("2"), 1)

    private fun serveEngines(
        routes: List<Route> = listOf(testRoute(RequestKind.STREAM)),
        engines: Int = 2
    ) = serve(
        *Array(engines) { listedUpstream("${it + 1}", slots = SLOTS) },
        table = testTable(engine = engine, routes = routes.map { it.withLongPauses() })
    )

    private fun Route.withLongPauses() = copy(longestPause = 150.milliseconds, maxAttempts = 3)

    /** Starts [count] streams, equally many on each rank. */
    private fun runStreams(count: Int, isBegun: Boolean = true, engines: Int = 2) {
        serveEngines(engines = engines)
        (0 until count).forEach { stream ->
            val send = sent("r$stream", RequestKind.STREAM)
            if (isBegun) begin("r$stream", send)
        }
        val onFirst = state.upstreams.values.first { it.record.id.value == "1" }.outstanding
        assertEquals(count / engines, onFirst)
    }

    private fun begin(id: String, send: GatewayEffect.Send) {
        emit(GatewayEvent.AnswerBegun(RequestId(id), send.attempt))
    }

    private fun sentIn(effects: List<GatewayEffect>): Set<RequestId> =
        effects.filterIsInstance<GatewayEffect.Send>().map { it.requestId }.toSet()

    /** Reports [pause] and that rank [slow] is five times slower, and returns the effects. */
    private fun slowFor(
        time: Duration,
        slow: String? = "1",
        pause: Duration = 794.milliseconds,
        entryCount: Int = 1,
        inFlight: PersistentMap<UpstreamKey, Int> = persistentMapOf()
    ): List<GatewayEffect> {
        val slowdowns = if (slow ==
            null
        ) {
            persistentMapOf()
        } else {
            persistentMapOf(InstanceId(slow) to 5.0)
        }
        val report = GatewayEvent.PeersReported(
            entryCount,
            inFlight,
            slowdowns = slowdowns
        )
        val end = now + time
        val effects = emit(report).toMutableList()
        while (now < end) {
            now += 50.milliseconds
            effects += emit(GatewayEvent.PausesObserved(persistentMapOf(testService to pause)))
            effects += emit(GatewayEvent.Tick)
        }
        return effects
    }

    private companion object {
        const val SLOTS = 7
        val engine = EngineProfile(eventStride = 5, stepTime = 4_550.milliseconds / 1_000)
    }
}
