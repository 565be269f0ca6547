package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.Address
import org.shallotplank.core.AttemptId
import org.shallotplank.core.quarantine.RequestFingerprint

/**
 * What one entry believes about one incarnation of an upstream.
 *
 * @property outstanding attempts of this entry that have not ended.
 * @property othersOutstanding the same of the other entries, as they last told.
 * @property recentSends when this entry sent requests there within the last [RATE_WINDOW].
 * @property failures attempts in a row that failed.
 * @property blockedUntil before that, nothing is sent.
 * @property fullUntil before that, it is thought to have no place.
 * @property connectionKeptUntil before that, a connection of its last answer is probably still
 *   open.
 * @property slowdown time that its work takes over what it usually takes, as its group's keeper
 *   knows.
 * @property notice what it asked for in its answers, whatever its record says.
 * @property misdirectedAddress an address at which another process answered.
 * @property ownership this entry's place among those that share it, null before it is known.
 * @property suspects requests that were lost there lately, which may have crashed it.
 */
public data class GatewayUpstream(
    val record: UpstreamRecord,
    val missingSince: Instant? = null,
    val outstanding: Int = 0,
    val othersOutstanding: Int = 0,
    val recentSends: PersistentList<Instant> = persistentListOf(),
    val failures: Int = 0,
    val blockedUntil: Instant = Instant.DISTANT_PAST,
    val fullUntil: Instant = Instant.DISTANT_PAST,
    val lastHeadAt: Instant = Instant.DISTANT_PAST,
    val connectionKeptUntil: Instant = Instant.DISTANT_PAST,
    val slowdown: Double = 1.0,
    val notice: ObservedNotice = ObservedNotice(),
    val misdirectedAddress: Address? = null,
    val ownership: UpstreamOwnership? = null,
    val suspects: PersistentSet<Suspect> = persistentSetOf()
) {
    val key: UpstreamKey get() = UpstreamKey(record.id, record.incarnation)

    /** Attempts of all entries that have not ended, as far as known. */
    val totalOutstanding: Int get() = outstanding + othersOutstanding

    /** Whether it goes on to take requests, as far as its record and answers say. */
    internal val isNotLeaving: Boolean get() = !record.isLeaving && !notice.isLeaving

    /** Whether new attempts may go there at [now], as far as its own state says. */
    internal fun isUsable(now: Instant): Boolean = when {
        !isNotLeaving ||
            !notice.acceptsRequests(
                now
            ) ||
            misdirectedAddress == record.address -> false
        failures == 0 -> true
        else -> now >= blockedUntil
    }

    /** After failures, one attempt at a time shows whether it is back. */
    internal fun mayReceiveAttempt(now: Instant): Boolean =
        isUsable(now) && (failures == 0 || outstanding == 0)

    /** Whether one more attempt at [now] keeps to [ratePerSecond]. */
    internal fun hasRateLeft(ratePerSecond: Int?, now: Instant): Boolean =
        ratePerSecond == null || recentSends.count { now - it < RATE_WINDOW } < ratePerSecond

    /** Whether nothing is lost by forgetting it once it is not listed. */
    internal fun isIdle(now: Instant): Boolean =
        outstanding == 0 && recentSends.none { now - it < RATE_WINDOW }

    internal fun sent(now: Instant): GatewayUpstream = copy(
        outstanding = outstanding + 1,
        connectionKeptUntil = Instant.DISTANT_PAST,
        recentSends = recentSends.removeAll { now - it >= RATE_WINDOW }.add(now)
    )

    internal fun ended(): GatewayUpstream = copy(outstanding = (outstanding - 1).coerceAtLeast(0))

    internal fun answered(now: Instant): GatewayUpstream =
        copy(failures = 0, blockedUntil = Instant.DISTANT_PAST, lastHeadAt = now)

    /** It gave a whole answer, after which most upstreams keep the connection for a while. */
    internal fun answerCompleted(now: Instant): GatewayUpstream =
        ended().copy(connectionKeptUntil = now + CONNECTION_KEPT_TIME)

    internal fun failed(now: Instant): GatewayUpstream {
        val doublings = failures.coerceAtMost(MAX_DOUBLINGS)
        return copy(
            failures = failures + 1,
            blockedUntil =
            now + INITIAL_BACKOFF * (1 shl doublings)
        )
    }

    /** Load at which the next attempt would find it, as a share of its slots at its usual pace. */
    internal fun utilization(): Double =
        (totalOutstanding + 1) * slowdown / record.slots.coerceAtLeast(1)

    internal companion object {
        /** Span of the rates that cold upstreams bear, which are given a second. */
        val RATE_WINDOW: Duration = 1.seconds

        /** Connections are kept for 250 ms where upstreams state nothing, less the way there. */
        private val CONNECTION_KEPT_TIME = 200.milliseconds

        /** Pause after a first failure; a tenth of the time in which a crashed engine returns. */
        private val INITIAL_BACKOFF = 250.milliseconds

        /** Bounds the pause at four seconds, so that an upstream that is back is soon found. */
        private const val MAX_DOUBLINGS = 4
    }
}

/** A request that was lost at an upstream while [attempt] ran there. */
public data class Suspect(
    val fingerprint: RequestFingerprint,
    val attempt: AttemptId,
    val at: Instant
)
