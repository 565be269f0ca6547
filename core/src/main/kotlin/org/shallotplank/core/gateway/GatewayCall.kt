package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName

/**
 * What the reducer needs to know of a request that has been read whole.
 *
 * @property attemptId the caller's id of this attempt, for the logs.
 * @property timeLeft how long the caller waits, null when it did not say.
 * @property bodySha256 digest of method, path and body, under which crashes are counted.
 */
public data class GatewayRequest(
    val id: RequestId,
    val attemptId: String?,
    val host: String,
    val path: String,
    val credential: String?,
    val timeLeft: Duration?,
    val bodySha256: String,
    val arrivedAt: Instant
)

/** A request that has been taken and not yet answered. */
public data class GatewayCall(
    val request: GatewayRequest,
    val route: Route,
    val service: ServiceName,
    val customer: CustomerName?,
    val priority: Int,
    /** End of the caller's patience or of the route's timeout, whichever is first. */
    val deadline: Instant,
    /** Whether [deadline] is the caller's own. */
    val isCallersDeadline: Boolean,
    val phase: GatewayPhase = GatewayPhase.Queued,
    /** Attempts that reached an upstream. */
    val attemptsSent: Int = 0,
    /** Attempts whose connection was never made. */
    val connectFailures: Int = 0,
    val excluded: PersistentSet<InstanceId> = persistentSetOf(),
    /** Whether some attempt may have run. */
    val mayHaveRun: Boolean = false,
    /** Whether the answer to the caller has begun. */
    val isAnswerBegun: Boolean = false
)

/** Where a [GatewayCall] stands. */
public sealed interface GatewayPhase {
    /** It waits to be admitted. */
    public data object Queued : GatewayPhase

    /** An attempt is with [upstream]. */
    public data class Sent(val attempt: Int, val upstream: UpstreamKey, val sentAt: Instant) :
        GatewayPhase
}

/** One incarnation of an upstream. */
public data class UpstreamKey(val id: InstanceId, val incarnation: Long) {
    override fun toString(): String = "$id@$incarnation"
}
