package org.shallotplank.core.execution

import kotlin.time.Instant
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.call.Refusal

/**
 * The at-most-once protocol of one attempt at a non-idempotent request.
 *
 * An attempt may be sent to the upstream only after [ExecutionEffect.Run], which comes once at
 * most, and only when the table holds a STARTED record with this attempt's id. A started record is
 * never taken over by another attempt: while its holder cannot be asked, a repeat is told that the
 * request may have run. A claim whose fate is unknown is given up, never run, and released in the
 * background with a conditional write that also fences a copy of the claim still on its way.
 */
public data class Execution(
    val key: RecordKey,
    val attemptId: AttemptId,
    val holder: Holder,
    val digest: String,
    val deadline: Instant,
    val phase: ExecutionPhase,
    /** Reads that were made to find out what became of a claim. */
    val reads: Int = 0,
    /** When an outcome or a release that is not written yet is tried again. */
    val retryAt: Instant = Instant.DISTANT_PAST
)

/** The agent that makes an attempt, in one life of its process. */
public data class Holder(val instance: InstanceId, val incarnation: Long)

/** Where an [Execution] stands. */
public sealed interface ExecutionPhase {
    /** A conditional write of a STARTED record is on its way. */
    public data class Claiming(val expectedVersion: Long, val startedAt: Instant) : ExecutionPhase

    /** The claim's answer was lost; the record is being read back. */
    public data class Resolving(val expectedVersion: Long, val startedAt: Instant) : ExecutionPhase

    /** The attempt holds the record at [version] and was handed to the upstream. */
    public data class Running(val version: Long, val startedAt: Instant) : ExecutionPhase

    /** The outcome is being written over the record at [version]. */
    public data class Recording(val version: Long, val record: ExecutionRecord) : ExecutionPhase

    /** The attempt was given up before it ran; its claim, if any, is being released. */
    public data class Releasing(val version: Long, val startedAt: Instant) : ExecutionPhase

    /** Nothing is left to do. */
    public data object Ended : ExecutionPhase
}

/** What happens to an [Execution]. */
public sealed interface ExecutionEvent {
    /** The conditional write of a record in [state] came to an end. */
    public data class WriteEnded(val state: ExecutionState, val outcome: WriteOutcome) :
        ExecutionEvent

    /** A read came to an end. */
    public data class ReadEnded(val outcome: ReadOutcome) : ExecutionEvent

    /** The upstream's answer is whole. */
    public data class AnswerEnded(val answer: StoredAnswer) : ExecutionEvent

    /** The upstream refused the connection, so that nothing was sent. */
    public data object NeverSent : ExecutionEvent

    /** The upstream was lost after the request was sent. */
    public data object UpstreamLost : ExecutionEvent

    /** The agent may not start this attempt any more: it drains, or the caller left. */
    public data class Abandoned(val refusal: Refusal) : ExecutionEvent

    /** Time passed; unfinished background writes are tried again. */
    public data object Tick : ExecutionEvent
}

/** End of a conditional write to the table. */
public sealed interface WriteOutcome {
    /** It took effect. */
    public data class Written(val version: Long) : WriteOutcome

    /** Another write was there first; [record] is what the table holds, null when absent. */
    public data class Conflict(val version: Long, val record: ExecutionRecord?) : WriteOutcome

    /** No answer, so that it may have taken effect, or may yet. */
    public data object Unknown : WriteOutcome
}

/** End of a read of the table. */
public sealed interface ReadOutcome {
    /** The table holds [record] at [version]; null at version 0 when absent. */
    public data class Found(val version: Long, val record: ExecutionRecord?) : ReadOutcome

    /** No answer. */
    public data object Unavailable : ReadOutcome
}

/** What an [Execution] wants done. */
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

    /** Give the recorded answer of the earlier execution. */
    public data class Replay(val answer: StoredAnswer) : ExecutionEffect

    /** Refuse the attempt. */
    public data class Refuse(val refusal: Refusal) : ExecutionEffect
}
