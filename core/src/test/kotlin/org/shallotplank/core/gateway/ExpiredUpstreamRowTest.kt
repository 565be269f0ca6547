package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId

/** An upstream whose row in the store expires and is written again while its process runs. */
class ExpiredUpstreamRowTest : GatewayReducerFixture() {
    private val upstream = listedUpstream("u", slots = 32)

    private fun lapse() {
        emit(GatewayEvent.UpstreamsListed(persistentListOf()))
        emit(GatewayEvent.UpstreamsListed(persistentListOf(upstream)))
    }

    /** Guards against a rank group that is not kept because an ended rank counts as a member. */
    @Nested
    inner class ItsCounts {
        @Test
        fun `are kept without it being listed`() {
            serve(upstream)
            sent("1")
            emit(GatewayEvent.UpstreamsListed(persistentListOf()))
            assertFalse(state.upstreams.values.single().isListed)
            emit(GatewayEvent.UpstreamsListed(persistentListOf(upstream)))
            assertTrue(state.upstreams.values.single().isListed)
        }
    }

    /**
     * Load pattern: requests that end at once, sent to an upstream that may be cold.
     *
     * An entry that drops its send times with the row would exceed the upstream's cold rate.
     */
    @Nested
    inner class ItsRate {
        @Test
        fun `counts requests sent before the row expired`() {
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
