package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import org.shallotplank.core.RequestId

/**
 * Guards against a caller who gets a 502 in place of its upstream's failure: the retry found no
 * upstream, and the request that was admitted in its place was taken for the retry.
 */
class HeldFailureTest : GatewayReducerFixture() {
    @Test
    fun `is delivered if no upstream is left and another request takes the slot`() {
        serve(listedUpstream("1", slots = 1))
        val first = sent("a")
        assertEquals(emptyList(), emit(arrival("b", RequestKind.SAFE, now)))

        val effects = emit(GatewayEvent.AnswerHeld(first.requestId, first.attempt, status = 500))
        assertContains(effects, GatewayEffect.DeliverHeld(RequestId("a")))
    }
}
