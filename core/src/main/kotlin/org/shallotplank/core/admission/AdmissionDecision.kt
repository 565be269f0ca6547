package org.shallotplank.core.admission

import kotlin.time.Duration
import org.shallotplank.core.RequestId

/** Decision of an [AdmissionQueue] on one request. */
public sealed interface AdmissionDecision {
    public val request: RequestId

    /** The request may start now; the caller must release it when it ends. */
    public data class Admit(override val request: RequestId) : AdmissionDecision

    /** The request waits; another decision on it follows. */
    public data class Queue(override val request: RequestId) : AdmissionDecision

    /**
     * The request is not admitted and was not run.
     *
     * @property retryAfter delay before a retry, with jitter so that refused requests are
     *   not all retried at once.
     */
    public data class Refuse(
        override val request: RequestId,
        val reason: RefusalReason,
        val retryAfter: Duration
    ) : AdmissionDecision
}

/** Why a request is not admitted. */
public enum class RefusalReason {
    /** The queue is full, and the waiting requests have precedence. */
    QUEUE_FULL,

    /** The expected wait exceeds the time left until its deadline. */
    WOULD_EXPIRE,

    /** Its deadline has passed. */
    EXPIRED,

    /** It waited, and is too late because a more urgent request arrived. */
    YIELDED
}
