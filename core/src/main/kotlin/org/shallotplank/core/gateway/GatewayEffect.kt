package org.shallotplank.core.gateway

import kotlin.time.Duration
import org.shallotplank.core.Address
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.quarantine.CrashRecord

/** Everything that a gateway entry can want done. */
public sealed interface GatewayEffect {
    /** Send an attempt. */
    public data class Send(
        val requestId: RequestId,
        val attempt: Int,
        val upstream: UpstreamKey,
        val address: Address,
        val customer: CustomerName?,
        val priority: Int,
        val timeLeft: Duration,
        /** Whether the request may not be lost to a kept connection that closes. */
        val needsNewConnection: Boolean,
        val isStream: Boolean,
        val maxConnections: Int
    ) : GatewayEffect

    /** Stop an attempt whose answer is not wanted any more. */
    public data class CancelAttempt(val requestId: RequestId, val attempt: Int) : GatewayEffect

    /** Give the caller the answer that was held back. */
    public data class DeliverHeld(val requestId: RequestId) : GatewayEffect

    /** Answer with a [status] of the gateway's own. */
    public data class Refuse(
        val requestId: RequestId,
        val status: Int,
        val reason: GatewayRefusal,
        val retryAfter: Duration? = null
    ) : GatewayEffect

    /** Close the caller's connection so that the answer cannot look whole. */
    public data class Cut(val requestId: RequestId) : GatewayEffect

    /** Find out whether an upstream that lost attempts still takes connections. */
    public data class CheckAlive(val upstream: UpstreamKey, val address: Address) : GatewayEffect

    /** Tell the other entries of a crash. */
    public data class ShareCrash(val record: CrashRecord) : GatewayEffect

    /** Write a log line. */
    public data class Log(val record: LogRecord) : GatewayEffect
}

/** Why a request was ended without an upstream's answer. */
public enum class GatewayRefusal {
    /** No configuration is known yet. */
    NOT_CONFIGURED,

    /** No route matches the host and path. */
    NO_ROUTE,

    /** The credential is missing or unknown. */
    UNAUTHORIZED,

    /** It would have to wait too long. */
    OVERLOADED,

    /** No upstream may take it. */
    NO_UPSTREAM,

    /** All upstreams asked for a pause that lasts longer than it may wait. */
    UPSTREAMS_PAUSED,

    /** It crashed the upstreams that ran it. */
    QUARANTINED,

    /** The upstreams refused it. */
    UPSTREAM_REFUSED,

    /** The upstream broke off; the request may have run. */
    UPSTREAM_LOST,

    /** The caller's deadline or the route's timeout passed. */
    TIMED_OUT
}
