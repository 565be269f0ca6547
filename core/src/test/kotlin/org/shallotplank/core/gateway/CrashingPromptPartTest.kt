package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart

/** Guards against requests, no two alike, of which one prompt part crashes engine after engine. */
class CrashingPromptPartTest : GatewayReducerFixture() {
    private var engines = List(12) { listedUpstream("%02d".format(it), slots = 8) }
    private var requests = 0
    private var restarts = 1L

    @Nested
    inner class RequestsWithAPartThatCrashesEngines {
        @Test
        fun `reach at most three more engines once the part has crashed five`() {
            serveThroughCrashes(5)
            now += 3.seconds
            val sent = (1..20).count {
                now += 500.milliseconds
                sendCrashing()
            }
            assertTrue(sent <= 3, "$sent requests reached an engine")
        }

        @Test
        fun `do not keep sound requests that share their other parts from being served`() {
            serveThroughCrashes(8)
            now += 6.seconds
            repeat(20) {
                sendCrashing()
                assertTrue(answerSoundRequest(), "sound request $it was refused")
            }
        }
    }

    @Nested
    inner class CrashesThatCutAnAnswerInItsHead {
        @Test
        fun `count as well`() {
            serve(*engines.toTypedArray())
            repeat(2) {
                assertTrue(sendCrashing(AttemptFailure.GARBLED))
                now += 1.seconds
            }
            assertFalse(sendCrashing())
        }
    }

    @Nested
    inner class CrashesThatOtherEntriesSaw {
        @Test
        fun `add up with those that this entry saw`() {
            serve(*engines.toTypedArray())
            emit(GatewayEvent.PromptCrashesLearned(persistentListOf(crash("other@1", 4.seconds))))
            assertTrue(sendCrashing())
            assertFalse(sendCrashing())
        }

        @Test
        fun `also end the requests that wait for a slot`() {
            serve(listedUpstream("u", slots = 1))
            arrive(setOf("instructions"))
            arrive(setOf("instructions", "crashing"))
            val crashes = persistentListOf(crash("a@1", 4.seconds), crash("b@1", 0.seconds))
            val ended = emit(GatewayEvent.PromptCrashesLearned(crashes))
            val refusal = assertIs<GatewayEffect.Refuse>(ended.single())
            assertEquals(GatewayRefusal.QUARANTINED, refusal.reason)
            assertEquals(503, refusal.status)
        }
    }

    /** Answers sound requests, then sends [count] requests with the crashing part. */
    private fun serveThroughCrashes(count: Int) {
        serve(*engines.toTypedArray())
        repeat(20) { assertTrue(answerSoundRequest()) }
        repeat(count) {
            sendCrashing()
            now += 1.seconds
        }
    }

    private fun crash(upstream: String, age: Duration) =
        PromptCrash(upstream, now - age, persistentSetOf(PromptPart("crashing")))

    /** Sends a request with the crashing part; whether an engine got it, which then crashed. */
    private fun sendCrashing(failure: AttemptFailure = AttemptFailure.CONNECTION_LOST): Boolean {
        val effect = arrive(setOf("instructions", "subject-${requests % 3}", "crashing"))
        if (effect !is GatewayEffect.Send) return false
        now += 80.milliseconds
        emit(GatewayEvent.AttemptLost(effect.requestId, effect.attempt, failure))
        emit(GatewayEvent.UpstreamCrashed(effect.upstream))
        restart(effect.upstream)
        return true
    }

    private fun restart(engine: UpstreamKey) {
        engines = engines.map { listed ->
            val isCrashed = listed.record.id == engine.id
            if (isCrashed) listedUpstream(engine.id.value, incarnation = ++restarts) else listed
        }
        emit(GatewayEvent.UpstreamsListed(engines.toPersistentList()))
    }

    /** Sends and answers a request without the crashing part; whether an engine got it. */
    private fun answerSoundRequest(): Boolean {
        val effect = arrive(setOf("instructions", "subject-${requests % 3}"))
        if (effect !is GatewayEffect.Send) return false
        emit(GatewayEvent.AnswerBegun(effect.requestId, effect.attempt))
        now += 400.milliseconds
        emit(GatewayEvent.Tick)
        emit(GatewayEvent.AnswerEnded(effect.requestId, effect.attempt, status = 200))
        return true
    }

    private fun arrive(parts: Set<String>): GatewayEffect? {
        val id = "r${requests++}"
        val effects = emit(arrival(id, RequestKind.UNSAFE, now, parts = parts))
        return effects.firstOrNull()
    }
}
