package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Limit on the requests of an upstream whose work takes longer than usual.
 *
 * @property slots requests that it may run; 0 while it gets no new requests.
 * @property since when the limit was set.
 * @property limitedAt when its slowdown last allowed no more than [slots] requests.
 * @property raisedAt when [slots] last rose.
 * @property usualPause the time [UsualPause] from before the slowdown, as later observations
 *   include it.
 * @property movedAt when a stream was last moved away from it.
 */
public data class SlowUpstream(
    val slots: Int,
    val since: Instant,
    val limitedAt: Instant,
    val raisedAt: Instant = Instant.DISTANT_PAST,
    val usualPause: UsualPause,
    val movedAt: Instant = Instant.DISTANT_PAST
) {
    /** The limit after the slowdown of the upstream has allowed [allowed] requests at [now]. */
    internal fun next(allowed: Int, now: Instant): SlowUpstream = when {
        allowed <= slots -> copy(slots = allowed, limitedAt = now)
        now - limitedAt < RETURN_DELAY || now - raisedAt < RAISE_INTERVAL -> this
        else -> copy(slots = slots + 1, raisedAt = now)
    }

    private companion object {
        /** Reported slowdowns vary from report to report, and a new keeper has no reports yet. */
        val RETURN_DELAY: Duration = 500.milliseconds

        /** Several iterations, so that pauses show the effect of the last request. */
        val RAISE_INTERVAL: Duration = 250.milliseconds
    }
}

/**
 * Pause between the events of a service's streams while all slots of its upstreams are in use and
 * none of the upstreams is slow.
 *
 * All upstreams of a rank group run each iteration together. An iteration takes as long as the
 * longest own part of an upstream, which a slowdown of that upstream lengthens, plus the time for
 * the experts, which the group's keeper balances.
 *
 * @property fixed own part of an upstream that runs no requests.
 * @property requests part that grows with the number of requests.
 * @property longest longest acceptable pause.
 */
public data class UsualPause(val fixed: Duration, val requests: Duration, val longest: Duration) {
    /**
     * Number of requests, at most [slots], with which the own part of an upstream that is slower by
     * the factor [slowdown] keeps iterations within [longest].
     */
    public fun allowedRequests(slots: Int, slowdown: Double): Int {
        val own = requests * OWN_SHARE
        val forOwnPart = longest - (requests - own)
        val forRequests = forOwnPart / slowdown - fixed
        if (forRequests < Duration.ZERO) return 0
        if (own <= Duration.ZERO) return slots
        return (slots * (forRequests / own) + ROUNDING).toInt().coerceIn(0, slots)
    }

    private companion object {
        /** Share of the load-dependent time of an iteration that is not spent in experts. */
        const val OWN_SHARE = 0.5

        /** Keeps a result that is a whole number from being rounded down. */
        const val ROUNDING = 1e-6
    }
}
