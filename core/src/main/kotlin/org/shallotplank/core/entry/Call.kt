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

/** A request that an entry has taken and not yet answered. */
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
    /** Whether an attempt was lost after it may have reached an upstream. */
    val mayHaveRun: Boolean = false,
    /** When an attempt at a non-idempotent request was lost, so that its record is asked for. */
    val lostAt: Instant? = null
) {
    /** Whether running it twice would do harm. */
    public val isOnce: Boolean get() = !operation.idempotent

    /** Identity of what it asks for, under which crashes are counted. */
    internal val fingerprint: RequestFingerprint
        get() = RequestFingerprint(customer.name, request.digest)
}

/** Where a [Call] stands. */
public sealed interface CallPhase {
    /** An upstream is being chosen. */
    public data object Choosing : CallPhase

    /** An attempt is with an agent. */
    public data class Trying(
        val attemptId: AttemptId,
        val upstream: InstanceId,
        val lastContactAt: Instant,
        /** Position of the next chunk. */
        val nextSequence: Long = 0,
        val head: AnswerHead? = null
    ) : CallPhase

    /** The next attempt is due at [until]. */
    public data class Waiting(val until: Instant) : CallPhase

    /** The table is asked whether an earlier request with the same key has run. */
    public data class LookingUp(val refusal: Refusal) : CallPhase
}

/** What the caller has been given, and what is kept until the answer is whole. */
public data class AnswerProgress(
    /** Whether the head went out, so that a failure can only cut the answer. */
    val begun: Boolean = false,
    /** Last server-sent event that went out. */
    val lastEventId: Long = 0,
    val kept: PersistentList<Payload> = persistentListOf(),
    val keptBytes: Int = 0
)
