package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.admission.RefusalReason

/** Guards against an explanation that differs from what the entry then does. */
class GatewayExplainingTest : GatewayReducerFixture() {
    private fun question(path: String = "/safe/x", customer: String? = null) =
        RequestQuestion("h", path, customer?.let(::CustomerName), timeLeft = 3.seconds)

    private fun explained(path: String = "/safe/x"): ServiceExplanation =
        state.explain(question(path), now).services.single()

    private fun notice(upstream: String, isLeaving: Boolean = false, pauseMillis: Int? = null) {
        val key = UpstreamKey(InstanceId(upstream), 1)
        emit(GatewayEvent.UpstreamNotice(key, isLeaving, pauseMillis?.milliseconds))
    }

    private val ServiceExplanation.reasons: Map<String, UpstreamExclusion>
        get() = choice.excluded.associate { it.upstream.record.id.value to it.reason }

    @Nested
    inner class TheChoice {
        @Test
        fun `is among the candidates that the next request is drawn from`() {
            serve(*Array(6) { listedUpstream("$it", zone = if (it < 3) "a" else "b") })
            repeat(18) {
                val drawnAmong = explained().choice.drawnAmong.map { it.upstream.key }
                val sent = sent("r$it")
                assertContains(drawnAmong, sent.upstream)
            }
        }

        @Test
        fun `has the terms of its cost`() {
            serve(listedUpstream("1"), listedUpstream("2", zone = "b"))
            val terms = explained().choice.candidates.associate {
                it.upstream.record.id.value to it.cost
            }
            assertEquals(UpstreamCostTerms(load = 0.25, connecting = 0.08), terms["1"])
            assertEquals(UpstreamCostTerms(load = 0.25, zone = 0.02, connecting = 0.08), terms["2"])
        }
    }

    @Nested
    inner class Exclusions {
        @Test
        fun `name what keeps requests from an upstream`() {
            val names = listOf("1", "2", "3", "4", "5")
            serve(
                *names.map { listedUpstream(it, zone = if (it == "4") "b" else "a") }.toTypedArray()
            )
            notice("1", isLeaving = true)
            notice("2", pauseMillis = 900)
            emit(GatewayEvent.EvacuationsChanged(persistentSetOf(ZoneName("b"))))
            val lost = sent("r", RequestKind.UNSAFE)
            emit(GatewayEvent.AttemptLost(lost.requestId, 1, AttemptFailure.CONNECTION_LOST))
            val expected = mapOf(
                "1" to UpstreamExclusion.LEAVING,
                "2" to UpstreamExclusion.PAUSED,
                "4" to UpstreamExclusion.ZONE_OUT_OF_SERVICE,
                lost.upstream.id.value to UpstreamExclusion.BACKOFF
            )
            assertEquals(expected, explained().reasons)
        }

        @Test
        fun `name the rate of cold upstreams`() {
            serve(listedUpstream("1"), table = testTable(coldRate = 1.0))
            sent("r")
            assertEquals(mapOf("1" to UpstreamExclusion.COLD_RATE), explained().reasons)
        }
    }

    @Nested
    inner class Admission {
        @Test
        fun `is at once while capacity is free, and waits or is refused after it`() {
            serve(listedUpstream("1", slots = 1))
            assertEquals(AdmissionOutcome.ADMITTED, explained().admission.outcome)
            sent("running")
            val queued = explained().admission
            assertEquals(AdmissionOutcome.QUEUED, queued.outcome)
            assertEquals(listOf(1, 1, 0), with(queued) { listOf(capacity, running, waiting) })
            now += 10.seconds
            emit(GatewayEvent.AnswerEnded(assertNotNull(state.calls.keys.first()), 1, 200))
            sent("next")
            val refused = explained().admission
            assertEquals(AdmissionOutcome.REFUSED, refused.outcome)
            assertEquals(RefusalReason.WOULD_EXPIRE, refused.refusedBy)
            assertIs<GatewayEffect.Refuse>(arrive("refused"))
        }

        @Test
        fun `is refused without an upstream`() {
            serve()
            assertEquals(GatewayRefusal.NO_UPSTREAM, explained().admission.refusal)
        }
    }

    @Nested
    inner class Routes {
        @Test
        fun `are matched as for a request`() {
            assertEquals(GatewayRefusal.NOT_CONFIGURED, state.explain(question(), now).refusal)
            val secured = testTable().copy(
                requiresCredentials = true,
                customersByCredential = persistentMapOf(
                    "secret" to CredentialHolder(CustomerName("alice"))
                )
            )
            serve(listedUpstream("1"), table = secured)
            val refusals = listOf(
                question("/none/x"),
                question(customer = "bob"),
                question(customer = "alice")
            ).map { state.explain(it, now).refusal }
            assertEquals(
                listOf(GatewayRefusal.NO_ROUTE, GatewayRefusal.UNAUTHORIZED, null),
                refusals
            )
        }
    }

    @Nested
    inner class AnExplanation {
        @Test
        fun `leaves the next decisions as they are`() {
            fun run(isAsked: Boolean): List<UpstreamKey> {
                val random = Random(7)
                var entry = GatewayState(testSettings())
                val asked = GatewayExplainingTest().apply {
                    serve(*Array(6) { listedUpstream("$it") })
                }
                entry = asked.state
                return List(12) { index ->
                    if (isAsked) entry.explain(question(), now)
                    val event = arrival("r$index", RequestKind.SAFE, now)
                    val step = entry.on(event, now, random)
                    entry = step.state
                    step.effects.filterIsInstance<GatewayEffect.Send>().single().upstream
                }
            }
            assertEquals(run(isAsked = false), run(isAsked = true))
        }
    }
}
