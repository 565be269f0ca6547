package org.shallotplank.core.call

import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/** What is known about the execution of a request that got no complete answer. */
@Serializable
public enum class RunState {
    /** No part of the request was run, and none will be. */
    NOT_RUN,

    /** The request may have been run, or may still be running. */
    MAY_HAVE_RUN,

    /** The request was run, but its answer cannot be delivered in full. */
    RAN
}

/** Why a request was refused; the lower-case name is the `code` of the problem document. */
@Serializable
public enum class RefusalReason {
    /** The upstream or the service has no capacity for the request before its deadline. */
    OVERLOADED,

    /** The customer has reached its limit of requests in flight. */
    CUSTOMER_LIMIT,

    /** The process is stopping. */
    DRAINING,

    /** Operators took the availability zone out of service. */
    ZONE_OUT_OF_SERVICE,

    /** No upstream of the service is known to be usable. */
    NO_UPSTREAM,

    /** The process does not have the current configuration yet. */
    NOT_CONFIGURED,

    /** The deadline of the operation passed. */
    DEADLINE_EXCEEDED,

    /** The upstream refused the connection. */
    UPSTREAM_UNREACHABLE,

    /** The connection was lost after the request had been sent. */
    UPSTREAM_LOST,

    /** The upstream crashed while it ran the request. */
    UPSTREAM_CRASHED,

    /** The platform's table did not answer. */
    TABLE_UNAVAILABLE,

    /** An earlier request with the same idempotency key has not finished. */
    STILL_RUNNING,

    /** The idempotency key belongs to a request with another body. */
    KEY_REUSED,

    /** Earlier attempts of the request ended in crashes of upstreams; it is not run again. */
    QUARANTINED,

    /** The retry budget of the service is used up. */
    RETRY_BUDGET,

    /** The answer is larger than the process may buffer. */
    ANSWER_TOO_LARGE,

    /** The entry cancelled the attempt. */
    CANCELLED
}

/** A refusal: what is known of the execution, the reason, and when the caller may retry. */
@Serializable
public data class Refusal(
    val runState: RunState,
    val reason: RefusalReason,
    /** Time after which a retry may succeed, in milliseconds; 0 means immediately. */
    val retryAfterMillis: Long = 0,
    val detail: String = ""
) {
    public companion object {
        private val DEFAULT_RETRY = 1.seconds

        /** A refusal of a request of which no part was run; callers may retry soon. */
        internal fun notRun(reason: RefusalReason, detail: String): Refusal = Refusal(
            runState = RunState.NOT_RUN,
            reason = reason,
            retryAfterMillis = DEFAULT_RETRY.inWholeMilliseconds,
            detail = detail
        )
    }
}
