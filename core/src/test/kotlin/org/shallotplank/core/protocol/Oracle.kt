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

/** Records requests, executions and answers, and checks them against each other. */
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

    /** Checks that the agent may hand the attempt to its upstream. */
    fun handedToUpstream(offer: AttemptOffer, isAllowed: Boolean) {
        assertTrue(
            isAllowed,
            "${offer.attemptId} was handed to an upstream over its limit or out of service"
        )
    }

    /**
     * Counts an execution.
     *
     * If it has a key, checks that it is the first with this key and that its request was not
     * reported as not run.
     */
    fun executed(offer: AttemptOffer) {
        executionsByRequest.merge(offer.requestId, 1, Int::plus)
        val key = offer.idempotencyKey ?: return
        val count = executionsByKey.merge(key, 1, Int::plus)
        assertEquals(1, count, "executions of $key")
        val sent = requests.getValue(offer.requestId)
        assertTrue(!sent.reportedNotRun, "${offer.requestId} was reported as not run, but ran")
    }

    fun whole(id: RequestId, body: String) {
        val sent = end(id, "whole")
        assertTrue(!sent.begun, "$id got two answers")
        val expected = ProtocolFixture.answerOf(sent.text(), streamed = false).single()
        assertEquals(expected, body, "answer to $id")
    }

    fun begun(id: RequestId) {
        val sent = requests.getValue(id)
        assertTrue(!sent.begun && sent.ending == null, "answer to $id began twice or after its end")
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
        assertTrue(end(id, "cut").begun, "answer to $id was cut before it began")
    }

    fun refused(id: RequestId, refusal: Refusal) {
        val sent = end(id, "refused ${refusal.runState} ${refusal.reason}")
        assertTrue(!sent.begun, "$id was refused after its answer began")
        if (refusal.runState != RunState.NOT_RUN) return
        sent.reportedNotRun = true
        assertEquals(null, executionsByRequest[id], "$id ran, but was reported as not run")
        val isSameRequest = refusal.reason != RefusalReason.KEY_REUSED
        if (isSameRequest) {
            assertTrue(
                !sent.ranBefore,
                "$id was reported as not run; an earlier request with its key ran"
            )
        }
    }

    /** The entry was killed; the connections of the callers with open requests were closed. */
    fun entryLost(entry: InstanceId) = requests.values
        .filter { it.entry == entry && it.ending == null }
        .forEach { it.ending = "entry lost" }

    /** Checks that each request got an answer or a refusal, or lost its entry. */
    fun assertAllEnded() {
        val open = requests.filterValues { it.ending == null }.keys
        if (open.isNotEmpty()) fail("requests without an answer or a refusal: $open")
    }

    private fun end(id: RequestId, ending: String): Sent {
        val sent = requests.getValue(id)
        assertEquals(null, sent.ending, "$id got a second answer: $ending")
        sent.ending = ending
        return sent
    }

    private fun Sent.text(): String = call.body.bytes.decodeToString()
}
