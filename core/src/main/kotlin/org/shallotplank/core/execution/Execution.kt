package org.shallotplank.core.execution

import kotlin.time.Instant
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.call.Refusal

/**
 * The at-most-once protocol of one attempt at a non-idempotent request.
 *
 * An attempt may be sent to the upstream only after [ExecutionEffect.Run], which is requested at
 * most once, and only when the table holds a STARTED record with this attempt's id. Another
 * attempt never takes over a STARTED record: its holder may be unreachable, so a repeat of the
 * request is refused as one that may have run. A claim whose outcome cannot be determined is
 * abandoned and never run. A conditional write releases it in the background and also fences off a
 * copy of the claim's write that is still in flight.
 */
public data class Execution(
    val key: RecordKey,
    val attemptId: AttemptId,
    val holder: Holder,
    val digest: String,
    val deadline: Instant,
    val phase: ExecutionPhase,
    /** Number of reads that failed while the outcome of a claim was being determined. */
    val reads: Int = 0,
    /** Earliest time at which an unconfirmed write of an outcome or a release is retried. */
    val retryAt: Instant = Instant.DISTANT_PAST
)

/** The agent that makes an attempt, with the incarnation of its process. */
public data class Holder(val instance: InstanceId, val incarnation: Long)

/** Phase of an [Execution]. */
public sealed interface ExecutionPhase {
    /** A conditional write of a STARTED record is in flight. */
    public data class Claiming(val expectedVersion: Long, val startedAt: Instant) : ExecutionPhase

    /** The claim's write got no answer; the record is read to learn whether it took effect. */
    public data class Resolving(val expectedVersion: Long, val startedAt: Instant) : ExecutionPhase

    /** The attempt holds the record at [version], and the request was sent to the upstream. */
    public data class Running(val version: Long, val startedAt: Instant) : ExecutionPhase

    /** The outcome is being written over the record at [version]. */
    public data class Recording(val version: Long, val record: ExecutionRecord) : ExecutionPhase

    /** The attempt was abandoned before it ran; its claim, if any, is being released. */
    public data class Releasing(val version: Long, val startedAt: Instant) : ExecutionPhase

    /** Nothing is left to do. */
    public data object Ended : ExecutionPhase
}

/** Events that an [Execution] handles. */
public sealed interface ExecutionEvent {
    /** The conditional write of a record in [state] ended with [outcome]. */
    public data class WriteEnded(val state: ExecutionState, val outcome: WriteOutcome) :
        ExecutionEvent

    /** A read of the record ended with [outcome]. */
    public data class ReadEnded(val outcome: ReadOutcome) : ExecutionEvent

    /** The upstream's answer is complete. */
    public data class AnswerEnded(val answer: StoredAnswer) : ExecutionEvent

    /** The upstream refused the connection, so that nothing was sent. */
    public data object NeverSent : ExecutionEvent

    /** The upstream was lost after the request was sent. */
    public data object UpstreamLost : ExecutionEvent

    /**
     * The agent must not start this attempt any more.
     *
     * The agent is draining, the caller left, or the deadline passed before the start.
     */
    public data class Abandoned(val refusal: Refusal) : ExecutionEvent

    /** Time passed; unfinished background writes are retried. */
    public data object Tick : ExecutionEvent
}

/** Outcome of a conditional write to the table. */
public sealed interface WriteOutcome {
    /** The write took effect. */
    public data class Written(val version: Long) : WriteOutcome

    /** Another write took effect first; [record] is what the table holds, null when absent. */
    public data class Conflict(val version: Long, val record: ExecutionRecord?) : WriteOutcome

    /** The write got no answer; it may have taken effect or may still do so. */
    public data object Unknown : WriteOutcome
}

/** Outcome of a read of the table. */
public sealed interface ReadOutcome {
    /** The table holds [record] at [version]; null at version 0 when absent. */
    public data class Found(val version: Long, val record: ExecutionRecord?) : ReadOutcome

    /** The table did not answer. */
    public data object Unavailable : ReadOutcome
}

/** Side effects that an [Execution] requests. */
public sealed interface ExecutionEffect {
    /** Write [record] if the table still holds [expectedVersion]. */
    public data class Write(
        val key: RecordKey,
        val expectedVersion: Long,
        val record: ExecutionRecord
    ) : ExecutionEffect

    /** Read the record. */
    public data class Read(val key: RecordKey) : ExecutionEffect

    /** Send the request to the upstream, now and once. */
    public data object Run : ExecutionEffect

    /** Answer the attempt with the recorded answer of the earlier execution. */
    public data class Replay(val answer: StoredAnswer) : ExecutionEffect

    /** Refuse the attempt. */
    public data class Refuse(val refusal: Refusal) : ExecutionEffect
}
