package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Priority
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.work.RequestCost
import org.shallotplank.core.work.RequestSize

/**
 * A request that was read completely, as the reducer sees it.
 *
 * @property attemptId id that the caller gave this attempt, for the logs.
 * @property timeLeft time for which the caller waits, null if it did not state one.
 * @property bodySha256 digest of method, path and body, under which crashes are counted.
 * @property sharedParts parts of its prompt that other requests may have in common with it.
 * @property size what the caller stated about the tokens of its prompt and its answer.
 */
public data class GatewayRequest(
    val id: RequestId,
    val attemptId: String?,
    val host: String,
    val path: String,
    val credential: String?,
    val timeLeft: Duration?,
    val bodySha256: String,
    val arrivedAt: Instant,
    val sharedParts: PersistentSet<PromptPart> = persistentSetOf(),
    val size: RequestSize = RequestSize()
)

/** A request that the entry accepted and has not yet answered. */
public data class GatewayCall(
    val request: GatewayRequest,
    val route: Route,
    val service: ServiceName,
    val customer: CustomerName?,
    /** Position among the priorities of the service's requests; 0 is the most urgent. */
    val priority: Int,
    /** Class in which it is admitted. */
    val admissionPriority: Priority,
    /** The caller's deadline or the end of the route's timeout, whichever is earlier. */
    val deadline: Instant,
    /** Whether [deadline] is the caller's own. */
    val isCallersDeadline: Boolean,
    val phase: GatewayPhase = GatewayPhase.Queued,
    /** Attempts sent, without those that failed to connect. */
    val attemptsSent: Int = 0,
    /** Attempts that failed to connect. */
    val connectFailures: Int = 0,
    val excluded: PersistentSet<InstanceId> = persistentSetOf(),
    /** Whether an upstream may have run the request. */
    val mayHaveRun: Boolean = false,
    /** Whether the answer to the caller has begun. */
    val isAnswerBegun: Boolean = false,
    /** Whether it was moved away from a slow upstream, which happens at most once. */
    val isMoved: Boolean = false,
    /** Expected work when it was last sent; null before, or if too little was known of it. */
    val cost: RequestCost? = null,
    /** Stream events received from attempts before the open one. */
    val earlierEvents: Int = 0
)

/** Phase of a [GatewayCall]. */
public sealed interface GatewayPhase {
    /** The call waits to be admitted or to be sent again. */
    public data object Queued : GatewayPhase

    /** An attempt was sent to [upstream] and has not ended. */
    public data class Sent(
        val attempt: Int,
        val upstream: UpstreamKey,
        val sentAt: Instant,
        /** When the answer to the caller began with this attempt, null if it has not. */
        val begunAt: Instant? = null,
        /** Whether the answer has continued long enough to clear the parts of the prompt. */
        val isProven: Boolean = false,
        /** Stream events received from this attempt, as last counted. */
        val events: Int = 0
    ) : GatewayPhase
}

/** One incarnation of an upstream. */
public data class UpstreamKey(val id: InstanceId, val incarnation: Long) {
    override fun toString(): String = "$id@$incarnation"
}
