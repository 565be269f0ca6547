package org.shallotplank.core.protocol

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.entry.IncomingCall

/** Knows what callers sent, what upstreams ran and what callers were told, and compares. */
internal class Oracle {
    private class Sent(val call: IncomingCall, val entry: InstanceId, val ranBefore: Boolean) {
        val parts = StringBuilder()
        var begun = false
        var ending: String? = null
        var reportedNotRun = false
    }

    private val requests = mutableMapOf<RequestId, Sent>()
    private val executionsByKey = mutableMapOf<String, Int>()
    private val executionsByRequest = mutableMapOf<RequestId, Int>()

    fun arrived(call: IncomingCall, entry: InstanceId) {
        val ranBefore = call.idempotencyKey?.let { it in executionsByKey } ?: false
        requests[call.requestId] = Sent(call, entry, ranBefore)
    }

    /** The agent hands an attempt to its upstream. */
    fun handedToUpstream(offer: AttemptOffer, isAllowed: Boolean) {
        assertTrue(isAllowed, "${offer.attemptId} was started where no work may be")
    }

    /** An upstream runs an attempt. */
    fun executed(offer: AttemptOffer) {
        executionsByRequest.merge(offer.requestId, 1, Int::plus)
        val key = offer.idempotencyKey ?: return
        val count = executionsByKey.merge(key, 1, Int::plus)
        assertEquals(1, count, "executions of $key")
        val sent = requests.getValue(offer.requestId)
        assertTrue(!sent.reportedNotRun, "${offer.requestId} was reported as not run, and ran")
    }

    fun whole(id: RequestId, body: String) {
        val sent = end(id, "whole")
        assertTrue(!sent.begun, "$id got two answers")
        val expected = ProtocolFixture.answerOf(sent.text(), streamed = false).single()
        assertEquals(expected, body, "answer to $id")
    }

    fun begun(id: RequestId) {
        val sent = requests.getValue(id)
        assertTrue(!sent.begun && sent.ending == null, "$id began twice")
        sent.begun = true
    }

    fun part(id: RequestId, text: String) {
        requests.getValue(id).parts.append(text)
    }

    fun streamEnded(id: RequestId) {
        val sent = end(id, "stream")
        val expected = ProtocolFixture.answerOf(sent.text(), streamed = true).joinToString("")
        assertEquals(expected, sent.parts.toString(), "stream of $id")
    }

    fun cut(id: RequestId) {
        assertTrue(end(id, "cut").begun, "$id was cut before it began")
    }

    fun refused(id: RequestId, refusal: Refusal) {
        val sent = end(id, "refused ${refusal.runState} ${refusal.reason}")
        assertTrue(!sent.begun, "$id was refused after its answer began")
        if (refusal.runState != RunState.NOT_RUN) return
        sent.reportedNotRun = true
        assertEquals(null, executionsByRequest[id], "$id ran, and was reported as not run")
        val isSameRequest = refusal.reason != RefusalReason.KEY_REUSED
        if (isSameRequest) {
            assertTrue(!sent.ranBefore, "$id was reported as not run; an earlier one had run")
        }
    }

    /** The entry died; the callers of its open requests saw the connection close. */
    fun entryLost(entry: InstanceId) = requests.values
        .filter { it.entry == entry && it.ending == null }
        .forEach { it.ending = "entry lost" }

    /** Each request has ended in some way. */
    fun assertAllEnded() {
        val open = requests.filterValues { it.ending == null }.keys
        if (open.isNotEmpty()) fail("got neither an answer nor a refusal: $open")
    }

    private fun end(id: RequestId, ending: String): Sent {
        val sent = requests.getValue(id)
        assertEquals(null, sent.ending, "$id got a second answer: $ending")
        sent.ending = ending
        return sent
    }

    private fun Sent.text(): String = call.body.bytes.decodeToString()
}
