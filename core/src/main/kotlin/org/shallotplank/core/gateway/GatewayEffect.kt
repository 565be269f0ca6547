package org.shallotplank.core.gateway

import kotlin.time.Duration
import org.shallotplank.core.Address
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.quarantine.CrashRecord

/** Side effects that a gateway entry requests. */
public sealed interface GatewayEffect {
    /** Sends an attempt to an upstream. */
    public data class Send(
        val requestId: RequestId,
        val attempt: Int,
        val upstream: UpstreamKey,
        val address: Address,
        val customer: CustomerName?,
        val priority: Int,
        val timeLeft: Duration,
        /** Whether to open a new connection, since a kept one may close and lose the request. */
        val needsNewConnection: Boolean,
        val isStream: Boolean,
        val maxConnections: Int
    ) : GatewayEffect

    /** Cancels an attempt whose answer is no longer needed. */
    public data class CancelAttempt(val requestId: RequestId, val attempt: Int) : GatewayEffect

    /** Delivers to the caller the answer that was held back. */
    public data class DeliverHeld(val requestId: RequestId) : GatewayEffect

    /** Answers the caller with a [status] of the entry's own. */
    public data class Refuse(
        val requestId: RequestId,
        val status: Int,
        val reason: GatewayRefusal,
        val retryAfter: Duration? = null
    ) : GatewayEffect

    /** Closes the caller's connection such that the answer is recognizably incomplete. */
    public data class Cut(val requestId: RequestId) : GatewayEffect

    /** Checks whether an upstream that lost attempts still accepts connections. */
    public data class CheckAlive(val upstream: UpstreamKey, val address: Address) : GatewayEffect

    /** Reports a request's crashes, or that an answer cleared them, to all other entries. */
    public data class ShareCrash(val record: CrashRecord) : GatewayEffect

    /** Retains what is known of the crash of [upstream] after all processes have ended. */
    public data class RetainPromptCrash(val upstream: String) : GatewayEffect

    /** Retains what [upstream] announced about itself after all processes have ended. */
    public data class RetainNotice(val upstream: UpstreamKey) : GatewayEffect

    /** Writes a log line. */
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

    /** The request would wait too long for a slot, or too many requests wait already. */
    OVERLOADED,

    /** No upstream is available for the request. */
    NO_UPSTREAM,

    /** All upstreams asked for pauses that last longer than the request may wait. */
    UPSTREAMS_PAUSED,

    /** The request crashed upstreams that ran it. */
    QUARANTINED,

    /** The upstreams refused the request without running it. */
    UPSTREAM_REFUSED,

    /** An attempt was lost; the request may have run. */
    UPSTREAM_LOST,

    /** The caller's deadline or the route's timeout passed. */
    TIMED_OUT,

    /** The entry stops before the request could end; another entry can take it. */
    STOPPING
}
