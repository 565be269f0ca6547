package org.shallotplank.core.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.InstanceId

/**
 * Outcome of a routing decision, with the data for its log line.
 *
 * @property chosen the upstream to send to, null when none may receive the request.
 * @property considered the candidates that were examined, including the chosen one.
 */
public data class RoutingDecision(
    val chosen: InstanceId?,
    val considered: PersistentList<Considered> = persistentListOf()
)

/**
 * One candidate of a decision.
 *
 * @property score estimated cost of choosing it, lower is better; infinite when not eligible.
 */
public data class Considered(val id: InstanceId, val score: Double, val reason: RoutingReason)

/** Reason for the rejection or for the score of a candidate. */
public enum class RoutingReason {
    /** Already tried for this request. */
    EXCLUDED,

    /** Leaving, or in an availability zone that is out of service. */
    DRAINING,

    /** Its circuit breaker is open after consecutive failures. */
    CIRCUIT_OPEN,

    /** Eligible, and expected to have the prompt prefix cached. */
    CACHED_PREFIX,

    /** Eligible, and estimated to exceed its concurrency limit with this request. */
    FULL,

    /** Eligible, scored by load and distance. */
    LOAD
}
