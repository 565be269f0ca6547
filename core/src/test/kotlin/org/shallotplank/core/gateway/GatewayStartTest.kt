package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId

/** Entries that have just started, and services of which no upstream answers. */
class GatewayStartTest : GatewayReducerFixture() {
    @Nested
    inner class AnUnconfiguredEntry {
        @Test
        fun `refuses with a retry delay after a request has waited as long as a start takes`() {
            assertEquals(emptyList(), emit(arrival("1", RequestKind.SAFE, now)))
            now += 550.milliseconds
            assertEquals(emptyList(), emit(GatewayEvent.Tick))

            now += 100.milliseconds
            val refusal = assertIs<GatewayEffect.Refuse>(emit(GatewayEvent.Tick).single())
            assertEquals(503, refusal.status)
            assertNotNull(refusal.retryAfter)
        }

        @Test
        fun `serves waiting requests once it is configured`() {
            emit(arrival("1", RequestKind.SAFE, now))
            now += 200.milliseconds
            emit(GatewayEvent.RoutesAccepted(testTable()))
            emit(GatewayEvent.UpstreamsListed(persistentListOf(listedUpstream("u"))))
            val send = emit(GatewayEvent.ReadinessChanged(isReady = true)).single()

            assertEquals(RequestId("1"), assertIs<GatewayEffect.Send>(send).requestId)
        }

        @Test
        fun `drops the request of a caller that disconnects`() {
            emit(arrival("1", RequestKind.SAFE, now))
            emit(GatewayEvent.CallerLeft(RequestId("1")))
            now += 1.seconds
            assertEquals(emptyList(), emit(GatewayEvent.Tick))
        }

        @Test
        fun `refuses at once the requests beyond the number that it may hold`() {
            val effects = (0..256).flatMap { emit(arrival("r$it", RequestKind.SAFE, now)) }
            assertEquals(
                RequestId("r256"),
                assertIs<GatewayEffect.Refuse>(effects.single()).requestId
            )
        }
    }

    /**
     * Load pattern: all entries start together and receive the callers of several seconds at once.
     *
     * No entry has a report of the others yet, so that together they would overload the engines.
     */
    @Nested
    inner class AnEntryThatHasJustStarted {
        private val engine = EngineProfile(eventStride = 4, stepTime = 4.milliseconds)

        private fun sendsOf(requests: Int): Int = (1..requests)
            .flatMap { emit(arrival("r$it", RequestKind.STREAM, now)) }
            .count { it is GatewayEffect.Send }

        private fun start() {
            emit(GatewayEvent.PeersReported(entryCount = 4, persistentMapOf()))
            serve(
                *(0 until 8).map { listedUpstream("$it", slots = 8) }.toTypedArray(),
                table = testTable(engine = engine)
            )
        }

        @Test
        fun `sends no more than its guaranteed share of the slots`() {
            start()
            assertEquals(8, sendsOf(requests = 40))
        }

        @Test
        fun `queues the other requests for a quarter of their time`() {
            start()
            sendsOf(requests = 20)
            now += 700.milliseconds
            assertEquals(
                emptyList(),
                emit(GatewayEvent.Tick).filterIsInstance<GatewayEffect.Refuse>()
            )

            now += 100.milliseconds
            assertEquals(12, emit(GatewayEvent.Tick).filterIsInstance<GatewayEffect.Refuse>().size)
        }

        @Test
        fun `uses all slots if no peer has reported within the discovery time`() {
            start()
            now += 1.seconds
            assertEquals(40, sendsOf(requests = 40))
        }
    }

    /**
     * Load pattern: no engine of a service answers, and each caller retries only once.
     *
     * A retry that comes before the engines have restarted fails the request for good.
     */
    @Nested
    inner class AnOutage {
        @Test
        fun `asks callers to retry later than after a single failure`() {
            serve(listedUpstream("u"))
            repeat(20) { request ->
                now += 10.milliseconds
                sent("$request")
                val event = GatewayEvent.ConnectFailed(
                    RequestId("$request"),
                    1,
                    ConnectFailure.REFUSED
                )
                val refusal = assertIs<GatewayEffect.Refuse>(emit(event).single())
                assertTrue(assertNotNull(refusal.retryAfter) >= 1.seconds)
                now += 5.seconds
            }
        }

        @Test
        fun `ends with the first answer`() {
            serve(listedUpstream("u"), listedUpstream("v"))
            sent("1")
            emit(GatewayEvent.HeadReceived(RequestId("1"), 1, 200, load = null))
            sent("2")
            emit(GatewayEvent.ConnectFailed(RequestId("2"), 1, ConnectFailure.REFUSED))
            emit(GatewayEvent.NotRun(RequestId("2"), 2, 503, isMisdirected = false))
            val pauses = (3..22).map { arriveAndFail("$it").retryAfter }
            assertTrue(pauses.any { assertNotNull(it) < 600.milliseconds }, "$pauses")
        }

        private fun arriveAndFail(id: String): GatewayEffect.Refuse {
            var effect = arrive(id)
            while (effect is GatewayEffect.Send) {
                val event = GatewayEvent.NotRun(effect.requestId, effect.attempt, 503, false)
                effect = emit(event).single()
            }
            return assertIs<GatewayEffect.Refuse>(effect)
        }
    }
}
