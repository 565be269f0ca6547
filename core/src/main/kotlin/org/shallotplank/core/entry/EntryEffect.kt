package org.shallotplank.core.entry

import org.shallotplank.core.Address
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.quarantine.CrashRecord

/** Side effects that an entry instance requests. */
public sealed interface EntryEffect {
    /** Keep a connection to the agent of [instance] at [address]. */
    public data class Connect(val instance: InstanceId, val address: Address) : EntryEffect

    /** Close the connection to the agent of [instance]. */
    public data class Disconnect(val instance: InstanceId) : EntryEffect

    /** Offer an attempt to the agent of [to]. */
    public data class Offer(val to: InstanceId, val offer: AttemptOffer) : EntryEffect

    /** Cancel an attempt at the agent of [to]. */
    public data class Cancel(
        val to: InstanceId,
        val requestId: RequestId,
        val attemptId: AttemptId
    ) : EntryEffect

    /** Send the caller a complete answer. */
    public data class AnswerWhole(
        val requestId: RequestId,
        val head: AnswerHead,
        val body: Payload
    ) : EntryEffect

    /** Send the head of a streamed answer. */
    public data class AnswerBegin(val requestId: RequestId, val head: AnswerHead) : EntryEffect

    /** Send the next part of a streamed answer. */
    public data class AnswerContinue(val requestId: RequestId, val payload: Payload) : EntryEffect

    /** End a streamed answer that is complete. */
    public data class AnswerEnd(val requestId: RequestId) : EntryEffect

    /** Close the caller's connection so that the answer cannot look complete. */
    public data class AnswerCut(val requestId: RequestId, val refusal: Refusal) : EntryEffect

    /** Refuse the request. */
    public data class Refuse(val requestId: RequestId, val refusal: Refusal) : EntryEffect

    /** Reject the request because of an error of the caller. */
    public data class Reject(val requestId: RequestId, val rejection: Rejection) : EntryEffect

    /** Read the record of a non-idempotent request from the table. */
    public data class LookUp(val requestId: RequestId, val key: RecordKey) : EntryEffect

    /** Report a crash to the other processes. */
    public data class ShareCrash(val record: CrashRecord) : EntryEffect

    /** Write a log line. */
    public data class Log(val record: LogRecord) : EntryEffect

    /** End the process: no call is open any more, or the drain timeout has passed. */
    public data object Exit : EntryEffect
}
