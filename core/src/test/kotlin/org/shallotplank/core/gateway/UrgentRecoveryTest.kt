package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId

/** Failure: after an outage, less urgent requests go first, or all callers retry at once. */
class UrgentRecoveryTest : GatewayReducerFixture() {
    private val urgent = testRoute(RequestKind.STREAM, "/urgent/").copy(timeout = 8.seconds)
    private val less = urgent.copy(name = "less", pathPrefix = "/less/", priority = 2)

    private fun arriveAt(route: Route, id: String, timeLeft: Duration = 8.seconds) =
        emit(arrival(id, RequestKind.STREAM, now, timeLeft, route.pathPrefix))

    @Nested
    inner class RequestsThatAnEntryHoldsWhileItStarts {
        private fun sentAfterStart(vararg routes: Route): List<String> {
            arriveAt(less, "less")
            arriveAt(urgent, "urgent")
            arriveAt(urgent, "soon", timeLeft = 2.seconds)
            val table = testTable(routes = routes.toList())
            emit(GatewayEvent.RoutesAccepted(table))
            emit(GatewayEvent.UpstreamsListed(persistentListOf(listedUpstream("u", slots = 8))))
            return emit(GatewayEvent.ReadinessChanged(isReady = true))
                .filterIsInstance<GatewayEffect.Send>()
                .map { it.requestId.value }
        }

        @Test
        fun `are sent by priority, then by the time that is left`() {
            assertEquals(listOf("soon", "urgent", "less"), sentAfterStart(urgent, less))
        }

        @Test
        fun `are sent in order of arrival where all have one priority`() {
            val sent = sentAfterStart(urgent, less.copy(priority = urgent.priority))
            assertEquals(listOf("less", "urgent", "soon"), sent)
        }
    }

    @Nested
    inner class CallersThatAreRefusedDuringAnOutage {
        /** Refuses 80 requests to 4 slots that requests held for 200 ms; they take 4 s to serve. */
        private fun longestRetryDelay(vararg routes: Route): Duration {
            serve(listedUpstream("u"), table = testTable(routes = routes.toList()))
            arriveAt(urgent, "first")
            now += 200.milliseconds
            emit(GatewayEvent.HeadReceived(RequestId("first"), 1, 200, load = null))
            emit(GatewayEvent.AnswerEnded(RequestId("first"), 1, status = 200))
            now += 1.seconds
            val lost = GatewayEvent.UpstreamNotice(
                listedUpstream("u").record.key,
                isLeaving = true,
                pause = null
            )
            emit(lost)
            return (1..80).maxOf { request ->
                val refusal = arriveAt(urgent, "r$request").single() as GatewayEffect.Refuse
                assertNotNull(refusal.retryAfter)
            }
        }

        @Test
        fun `retry within the time in which they can be served`() {
            val longest = longestRetryDelay(urgent, less)
            assertTrue(longest in 3.seconds..5.seconds, "$longest")
        }

        @Test
        fun `retry as before where all requests have one priority`() {
            val longest = longestRetryDelay(urgent, less.copy(priority = urgent.priority))
            assertTrue(longest <= 2_200.milliseconds, "$longest")
        }
    }
}
