package org.shallotplank.core.execution

import kotlin.io.encoding.Base64
import kotlinx.serialization.Serializable
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.Payload

/** Progress of a non-idempotent request, as recorded in the platform's table. */
@Serializable
public enum class ExecutionState {
    /** An agent holds the claim on the request and may be running it. */
    STARTED,

    /** It ran, and the record holds its answer. */
    FINISHED,

    /** The agent released the claim without running the request. */
    RELEASED,

    /** It was sent to an upstream, and no complete answer arrived. */
    UNKNOWN
}

/**
 * The table's record of one idempotency key of one customer.
 *
 * Its version in the table is the fencing token: each change is a conditional write on it.
 */
@Serializable
public data class ExecutionRecord(
    val attemptId: AttemptId,
    val digest: String,
    val holder: InstanceId,
    /** Incarnation of the holder; a restarted holder does not treat the record as its own. */
    val holderIncarnation: Long,
    val state: ExecutionState,
    /** Time of the start by the holder's clock, in milliseconds since the epoch. */
    val startedAtMillis: Long,
    /** End of the holder's wait for its upstream, in milliseconds since the epoch. */
    val deadlineAtMillis: Long,
    val answer: StoredAnswer? = null
)

/** A recorded answer, which is returned to each repeat of the request. */
@Serializable
public data class StoredAnswer(
    val head: AnswerHead,
    /** Body in Base64; null when it was too large to record. */
    val bodyBase64: String?
) {
    /** The head that a repeat receives, marked as replayed. */
    internal val replayedHead: AnswerHead get() = head.copy(replayed = true)

    /** The decoded body that a repeat receives. */
    internal val body: Payload get() = Payload(Base64.decode(bodyBase64.orEmpty()))

    internal companion object {
        /** Creates the record of an answer; [body] is null when it is too large to record. */
        fun of(head: AnswerHead, body: Payload?): StoredAnswer =
            StoredAnswer(head, body?.let { Base64.encode(it.bytes) })
    }
}
