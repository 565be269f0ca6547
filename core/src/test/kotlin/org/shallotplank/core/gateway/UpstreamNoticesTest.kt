package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId

/** How an entry follows the notices in upstreams' answers: that they leave or ask for a pause. */
class UpstreamNoticesTest : GatewayReducerFixture() {
    private val u = listedUpstream("u", slots = 32)
    private val v = listedUpstream("v", slots = 32)

    private fun keyOf(listed: ListedUpstream) =
        UpstreamKey(listed.record.id, listed.record.incarnation)

    private fun list(vararg listed: ListedUpstream) =
        emit(GatewayEvent.UpstreamsListed(listed.toList().toPersistentList()))

    private fun saysLeaving(upstream: ListedUpstream) =
        emit(GatewayEvent.UpstreamNotice(keyOf(upstream), isLeaving = true, pause = null))

    private fun asksForPause(upstream: ListedUpstream, pause: Duration) =
        emit(GatewayEvent.UpstreamNotice(keyOf(upstream), isLeaving = false, pause))

    private fun refused(id: String): GatewayEffect.Refuse =
        assertIs<GatewayEffect.Refuse>(arrive(id))

    private fun notRun(send: GatewayEffect.Send) =
        emit(GatewayEvent.NotRun(send.requestId, send.attempt, 503, isMisdirected = false))

    @Nested
    inner class AnUpstreamThatSaidThatItLeaves {
        @Test
        fun `gets no more requests, even when the store lists it again as not leaving`() {
            serve(u, v)
            saysLeaving(u)
            repeat(8) { assertEquals(keyOf(v), sent("a$it").upstream) }

            list(u, v)
            repeat(8) { assertEquals(keyOf(v), sent("b$it").upstream) }
        }

        @Test
        fun `gets no requests after its row expired and was written again`() {
            serve(u, v)
            saysLeaving(u)
            list(v)
            list(u, v)
            repeat(8) { assertEquals(keyOf(v), sent("$it").upstream) }
        }

        @Test
        fun `is used again under its name as a new incarnation`() {
            serve(u)
            saysLeaving(u)
            assertEquals(503, refused("1").status)

            val next = listedUpstream("u", incarnation = 2)
            list(next)
            assertEquals(keyOf(next), sent("2").upstream)
        }

        @Test
        fun `gets no retried, resumed or waiting request`() {
            serve(listedUpstream("u", slots = 1), listedUpstream("v", slots = 1))
            val first = sent("1", RequestKind.STREAM)
            val second = sent("2", RequestKind.STREAM)
            assertEquals(emptyList(), emit(arrival("3", RequestKind.STREAM, now)))
            val upstreamOfSecond = if (second.upstream == keyOf(u)) u else v
            saysLeaving(upstreamOfSecond)

            val lost =
                GatewayEvent.AttemptLost(first.requestId, 1, AttemptFailure.CONNECTION_LOST)
            val effects = emit(lost)
            emit(GatewayEvent.AnswerEnded(second.requestId, 1, status = 200))
            now += 100.milliseconds
            val later = emit(GatewayEvent.Tick)
            val sends = (effects + later).filterIsInstance<GatewayEffect.Send>()
            assertTrue(sends.none { it.upstream == second.upstream }, "$sends")
        }

        @Test
        fun `does not get the request for which a connection was being made`() {
            serve(u, v)
            val send = sent("1")
            assertTrue(state.acceptsRequests(send.upstream, now))
            saysLeaving(if (send.upstream == keyOf(u)) u else v)
            assertFalse(state.acceptsRequests(send.upstream, now))

            val failure = ConnectFailure.UNWANTED
            val next = emit(GatewayEvent.ConnectFailed(send.requestId, send.attempt, failure))
            assertTrue(assertIs<GatewayEffect.Send>(next.single()).upstream != send.upstream)
        }

        @Test
        fun `is skipped if another entry reported it, even before it is listed`() {
            serve(v)
            emit(
                GatewayEvent.PeersReported(
                    entryCount = 2,
                    inFlight = persistentMapOf(),
                    leaving = persistentSetOf(keyOf(u))
                )
            )
            list(u, v)
            repeat(8) { assertEquals(keyOf(v), sent("$it").upstream) }
        }

        @Test
        fun `is remembered in bounded memory`() {
            serve(u)
            repeat(2_000) { saysLeaving(listedUpstream("x$it", incarnation = it.toLong())) }
            assertEquals(1_024, state.notices.size)
        }
    }

    @Nested
    inner class AnUpstreamThatAskedForAPause {
        @Test
        fun `gets no requests before the end of the pause`() {
            serve(u, v)
            asksForPause(u, 1.5.seconds)
            repeat(14) {
                assertEquals(keyOf(v), sent("$it").upstream)
                now += 100.milliseconds
                emit(GatewayEvent.AnswerEnded(RequestId("$it"), 1, status = 200))
            }
            now += 100.milliseconds
            val upstreams = (0 until 8).map { sent("later$it").upstream }
            assertTrue(keyOf(u) in upstreams)
        }

        @Test
        fun `gets no requests before the latest end that it named`() {
            serve(u)
            asksForPause(u, 3.seconds)
            now += 1.seconds
            asksForPause(u, 0.5.seconds)
            now += 1.seconds
            assertEquals(GatewayRefusal.UPSTREAMS_PAUSED, refused("1").reason)
            now += 1.seconds
            sent("2")
        }

        @Test
        fun `does not get a retry of the request that it refused`() {
            serve(u)
            val send = sent("1")
            asksForPause(u, 2.seconds)
            val refusal = assertIs<GatewayEffect.Refuse>(notRun(send).single())
            assertEquals(503, refusal.status)
            assertTrue(assertNotNull(refusal.retryAfter) >= 2.seconds)
        }

        @Test
        fun `of ten years gets no requests`() {
            serve(u)
            asksForPause(u, 3650.days)
            now += 1.days
            assertEquals(GatewayRefusal.UPSTREAMS_PAUSED, refused("1").reason)
        }

        @Test
        fun `gets no requests after its row expired and was written again`() {
            serve(u, v)
            asksForPause(u, 3.seconds)
            list(v)
            now += 2.seconds
            list(u, v)
            repeat(8) { assertEquals(keyOf(v), sent("$it").upstream) }
        }

        @Test
        fun `is used at once under its name as a new incarnation`() {
            serve(u)
            asksForPause(u, 30.seconds)
            list(listedUpstream("u", incarnation = 2))
            sent("1")
        }
    }

    /** Load pattern: all upstreams of a service shed load, and its callers retry. */
    /** Guards against requests to upstreams that announced otherwise to entries that have ended. */
    @Nested
    inner class ANoticeThatTheStoreRetained {
        private fun retained(notice: ObservedNotice) =
            emit(GatewayEvent.NoticesRetained(persistentMapOf(keyOf(u) to notice)))

        @Test
        fun `keeps requests away from an upstream that leaves or pauses`() {
            for (notice in listOf(
                ObservedNotice(isLeaving = true),
                ObservedNotice(pausedUntil = now + 60.seconds)
            )) {
                retained(notice)
                serve(u, v)
                assertEquals(keyOf(v), sent("to-v-$notice").upstream)
            }
        }

        /** Guards against callers that wait for an upstream that can't take them in time. */
        @Test
        fun `of a pause refuses requests that already wait and can't start before its end`() {
            serve(listedUpstream("u", slots = 1))
            sent("1")
            assertEquals(emptyList(), emit(arrival("2", RequestKind.SAFE, now)))
            val effects = retained(ObservedNotice(pausedUntil = now + 60.seconds))
            val refusal = assertIs<GatewayEffect.Refuse>(effects.single())
            assertEquals(RequestId("2"), refusal.requestId)
        }

        @Test
        fun `of a limit is divided among the requests from the first one on`() {
            retained(ObservedNotice(rate = ObservedRate(0.25, observedAt = now)))
            serve(u)
            sent("1")
            assertEquals(emptyList(), emit(arrival("2", RequestKind.SAFE, now)))
        }
    }

    @Nested
    inner class AServiceWhoseUpstreamsAllAskForAPause {
        private fun pauseAll() {
            asksForPause(u, 4.seconds)
            asksForPause(v, 2.seconds)
        }

        @Test
        fun `refuses at once, with retry delays past the end of the first pause, with jitter`() {
            serve(u, v)
            pauseAll()
            val pauses = (1..20).map { assertNotNull(refused("$it").retryAfter) }
            assertTrue(pauses.all { it in 2.seconds..3.seconds }, "$pauses")
            assertTrue(pauses.max() - pauses.min() > 300.milliseconds, "$pauses")
        }

        @Test
        fun `refuses requests that already wait`() {
            serve(listedUpstream("u", slots = 1), listedUpstream("v", slots = 1))
            sent("1")
            sent("2")
            assertEquals(emptyList(), emit(arrival("3", RequestKind.SAFE, now)))
            asksForPause(u, 4.seconds)
            val effects = asksForPause(v, 2.seconds)
            assertEquals(GatewayEffect.RetainNotice(keyOf(v)), effects.first())
            val refusal = assertIs<GatewayEffect.Refuse>(effects.drop(1).single())
            assertEquals(RequestId("3"), refusal.requestId)
            assertTrue(assertNotNull(refusal.retryAfter) >= 2.seconds)
        }

        @Test
        fun `queues requests if a pause ends in time`() {
            serve(u, v)
            asksForPause(u, 200.milliseconds)
            asksForPause(v, 200.milliseconds)
            assertEquals(emptyList(), emit(arrival("1", RequestKind.SAFE, now)))
            now += 210.milliseconds
            assertIs<GatewayEffect.Send>(emit(GatewayEvent.Tick).single())
        }
    }
}
