package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId

/** An upstream whose row lapses and comes back, while its process goes on. */
class LapsedUpstreamTest : GatewayReducerFixture() {
    private val upstream = listedUpstream("u", slots = 32)

    private fun lapse() {
        emit(GatewayEvent.UpstreamsListed(persistentListOf()))
        emit(GatewayEvent.UpstreamsListed(persistentListOf(upstream)))
    }

    /** Load pattern: requests that end at once, before an upstream that may be cold. */
    @Nested
    inner class ItsRate {
        @Test
        fun `counts what was sent before`() {
            serve(upstream, table = testTable(coldRate = 4.0))
            repeat(4) {
                sent("$it")
                emit(GatewayEvent.AnswerEnded(RequestId("$it"), 1, status = 200))
            }
            lapse()
            now += 900.milliseconds
            assertIs<GatewayEffect.Refuse>(arrive("4"))

            now += 200.milliseconds
            assertEquals(RequestId("5"), sent("5").requestId)
        }
    }
}
