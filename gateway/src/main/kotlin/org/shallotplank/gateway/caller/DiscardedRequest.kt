package org.shallotplank.gateway.caller

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.MAX_BODY_TIME
import org.shallotplank.gateway.budget.isTooSlow

/**
 * The rest of a refused request, which is read and discarded until the connection closes.
 *
 * A connection that is closed while its caller still sends is reset, which can destroy the refusal.
 *
 * @param isWithinLimits whether the caller has kept the published limits so far; it then has the
 *   time that the body would have had.
 */
internal class DiscardedRequest(
    private val refusedAt: Instant,
    private val isWithinLimits: Boolean
) {
    private var bodyBytes = 0L
    private var isEnded = false

    /** Records [part], which the caller still has to release. */
    fun onPart(part: HttpObject) {
        if (part is HttpContent) bodyBytes += part.content().readableBytes()
        if (part is LastHttpContent) isEnded = true
    }

    /**
     * Whether the connection is to be closed.
     *
     * @param sentAt when the caller last read a part of the refusal.
     * @param readAt when bytes last arrived.
     */
    fun isOver(now: Instant, sentAt: Instant, readAt: Instant, limits: CallerLimits): Boolean {
        if (now - maxOf(refusedAt, sentAt) <= LINGER) return false
        val elapsed = now - refusedAt
        return !isWithinLimits ||
            isEnded ||
            bodyBytes > limits.maxBodyBytes ||
            now - readAt > limits.idleTimeout ||
            elapsed > MAX_BODY_TIME ||
            isTooSlow(elapsed, bodyBytes, limits.idleTimeout * RATE_GRACE_TIMEOUTS)
    }

    companion object {
        /** Time in which a caller that is outside the limits, or has ended, can read its answer. */
        val LINGER: Duration = 1.seconds
    }
}

/** Returns what to discard after a request was refused with [status]. */
internal fun discardedAfter(status: HttpResponseStatus, now: Instant) =
    DiscardedRequest(now, isWithinLimits = status in WITHIN_LIMITS)

/** Refusals after which the caller may still be sending its body at an ordinary rate. */
private val WITHIN_LIMITS = setOf(
    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
    HttpResponseStatus.SERVICE_UNAVAILABLE
)

/** Idle timeouts after which the rate of a body counts; callers may stop and go on. */
internal const val RATE_GRACE_TIMEOUTS = 2
