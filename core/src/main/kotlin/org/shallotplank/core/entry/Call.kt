package org.shallotplank.core.entry

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.config.Customer
import org.shallotplank.core.config.Operation
import org.shallotplank.core.config.Service
import org.shallotplank.core.quarantine.RequestFingerprint

/** A request that an entry has accepted and not yet answered. */
public data class Call(
    val request: IncomingCall,
    val service: Service,
    val operation: Operation,
    val customer: Customer,
    val deadline: Instant,
    val phase: CallPhase = CallPhase.Choosing,
    val attemptsMade: Int = 0,
    /** Upstreams that are not tried again for this request. */
    val excluded: PersistentSet<InstanceId> = persistentSetOf(),
    val progress: AnswerProgress = AnswerProgress(),
    /** Whether an attempt failed that an upstream may have run. */
    val mayHaveRun: Boolean = false,
    /** When the first attempt at a non-idempotent request was lost; its record is then polled. */
    val lostAt: Instant? = null
) {
    /** Whether the request is not idempotent, so that it must run at most once. */
    public val isAtMostOnce: Boolean get() = !operation.idempotent

    /** Identifies the request by customer and digest; the quarantine counts crashes by it. */
    internal val fingerprint: RequestFingerprint
        get() = RequestFingerprint(customer.name, request.digest)
}

/** Phase of a [Call]. */
public sealed interface CallPhase {
    /** An upstream is being chosen. */
    public data object Choosing : CallPhase

    /** An attempt was offered to an agent and has not ended. */
    public data class Trying(
        val attemptId: AttemptId,
        val upstream: InstanceId,
        val lastContactAt: Instant,
        /** Sequence number of the next chunk. */
        val nextSequence: Long = 0,
        val head: AnswerHead? = null
    ) : CallPhase

    /** The next attempt is due at [until]. */
    public data class Waiting(val until: Instant) : CallPhase

    /** The entry reads the table to learn whether an earlier request with the same key has run. */
    public data class LookingUp(val refusal: Refusal) : CallPhase
}

/** What was sent to the caller, and what is buffered until the answer is complete. */
public data class AnswerProgress(
    /** Whether the head was sent to the caller, so that a failure can only cut the answer. */
    val begun: Boolean = false,
    /** Id of the last server-sent event that was sent to the caller. */
    val lastEventId: Long = 0,
    val kept: PersistentList<Payload> = persistentListOf(),
    val keptBytes: Int = 0
)
