package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against requests that are accepted in a planned stop and then cut off. */
class PlannedStopReducerTest : GatewayReducerFixture() {
    private fun stop(serviceTime: Duration) = emit(
        GatewayEvent.StopRequested(
            admissionEndsAt = now + 3.seconds,
            serviceEndsAt = now + serviceTime
        )
    )

    @Nested
    inner class ARequestThatArrivesDuringAStop {
        @Test
        fun `is served while the stop is announced`() {
            serve(listedUpstream("u"))
            stop(serviceTime = 4.seconds)
            now += 2.seconds
            sent("1", RequestKind.UNSAFE)
        }

        @Test
        fun `is refused afterwards if it could outlast the service`() {
            serve(listedUpstream("u"))
            stop(serviceTime = 4.seconds)
            now += 3.seconds
            val refusal = assertIs<GatewayEffect.Refuse>(arrive("1", RequestKind.UNSAFE))
            assertEquals(503, refusal.status)
            assertEquals(GatewayRefusal.STOPPING, refusal.reason)
            assertEquals(Duration.ZERO, refusal.retryAfter)
        }

        @Test
        fun `is served afterwards if it ends before the service`() {
            serve(listedUpstream("u"))
            stop(serviceTime = 300.seconds)
            now += 3.seconds
            sent("1", RequestKind.UNSAFE)
        }
    }

    @Nested
    inner class TheEndOfTheService {
        @Test
        fun `ends waiting requests as unrun and sent ones as ones that may have run`() {
            serve(listedUpstream("u"))
            val sent = generateSequence(0, Int::inc).map { "$it" }
                .takeWhile { emit(arrival(it, RequestKind.UNSAFE, now)).isNotEmpty() }
                .toList()
            emit(arrival("waiting", RequestKind.UNSAFE, now))
            stop(serviceTime = Duration.ZERO)
            val statusById = emit(GatewayEvent.Tick)
                .filterIsInstance<GatewayEffect.Refuse>()
                .associate { it.requestId.value to it.status }
            assertEquals(503, statusById["waiting"])
            assertEquals(setOf(502), sent.map { statusById[it] }.toSet())
        }
    }
}
