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
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.quarantine.RequestFingerprint

/**
 * State of one incarnation of an upstream, as one entry observes it.
 *
 * @property isListed whether it is in the list of upstreams, and not only kept for its counts.
 * @property outstanding attempts of this entry that have not ended.
 * @property othersOutstanding attempts of the other entries that have not ended, as last reported.
 * @property recentSends times at which this entry sent requests there in the last [SENDS_KEPT].
 * @property failures number of consecutive failed attempts.
 * @property blockedUntil end of the backoff after a failure; nothing is sent there before.
 * @property fullUntil time until which the entry assumes that no slot is free there.
 * @property lastAnswerHeadAt when the head of an answer last arrived from it.
 * @property connectionKeptUntil time until which the connection of its last answer is probably
 *   still open.
 * @property slowdown time of its work over the usual time, as the keeper of its group reports; 1.0
 *   is usual, higher is slower.
 * @property slow limit on its requests because of its [slowdown], null for none.
 * @property notice what it announced in its answers; applies whatever its record says.
 * @property misdirectedAddress an address of its record at which another process answered.
 * @property ownership position of this entry relative to the owner, null before it is known.
 * @property suspects requests that were lost there recently and may have crashed it.
 */
public data class GatewayUpstream(
    val record: UpstreamRecord,
    val isListed: Boolean = true,
    val missingSince: Instant? = null,
    val outstanding: Int = 0,
    val othersOutstanding: Int = 0,
    val recentSends: PersistentList<Instant> = persistentListOf(),
    val failures: Int = 0,
    val blockedUntil: Instant = Instant.DISTANT_PAST,
    val fullUntil: Instant = Instant.DISTANT_PAST,
    val lastAnswerHeadAt: Instant = Instant.DISTANT_PAST,
    val connectionKeptUntil: Instant = Instant.DISTANT_PAST,
    val slowdown: Double = 1.0,
    val slow: SlowUpstream? = null,
    val notice: ObservedNotice = ObservedNotice(),
    val misdirectedAddress: Address? = null,
    val ownership: UpstreamOwnership? = null,
    val suspects: PersistentSet<Suspect> = persistentSetOf()
) {
    val key: UpstreamKey get() = record.key

    /** Attempts of all entries that have not ended, as far as this entry knows. */
    val totalOutstanding: Int get() = outstanding + othersOutstanding

    /** Whether neither its record nor its answers say that it is leaving. */
    internal val isNotLeaving: Boolean get() = !record.isLeaving && !notice.isLeaving

    /**
     * Whether the state of this upstream alone allows new attempts at [now].
     *
     * Its zone and its rate limit are not considered.
     */
    internal fun isUsable(now: Instant): Boolean = unusableReason(now) == null

    private fun unusableReason(now: Instant): UpstreamExclusion? = when {
        !isNotLeaving -> UpstreamExclusion.LEAVING
        !notice.acceptsRequests(now) -> UpstreamExclusion.PAUSED
        misdirectedAddress == record.address -> UpstreamExclusion.MISDIRECTED
        failures > 0 && now < blockedUntil -> UpstreamExclusion.BACKOFF
        else -> null
    }

    /**
     * What in its own state keeps attempts from being sent there at [now], null if nothing does.
     *
     * After a failure, one attempt at a time probes it, as with a half-open circuit breaker.
     */
    internal fun exclusionAt(now: Instant): UpstreamExclusion? = unusableReason(now)
        ?: UpstreamExclusion.PROBED.takeIf { failures > 0 && outstanding > 0 }

    /** Whether one more attempt at [now] stays within [ratePerSecond]; null means no limit. */
    internal fun hasRateLeft(ratePerSecond: Int?, now: Instant): Boolean =
        ratePerSecond == null || sendsWithin(RATE_WINDOW, now) < ratePerSecond

    /** Number of requests that this entry sent there in the last [window]. */
    internal fun sendsWithin(window: Duration, now: Instant): Int =
        recentSends.count { now - it < window }

    /**
     * Whether its state may be dropped once it is not listed: no attempt is outstanding and no
     * recent send counts towards its rate.
     */
    internal fun isIdle(now: Instant): Boolean {
        val isLimited = notice.rate?.requestsPerSecond != null
        val counted = if (isLimited) SENDS_KEPT else RATE_WINDOW
        return outstanding == 0 && sendsWithin(counted, now) == 0
    }

    internal fun sent(now: Instant): GatewayUpstream = copy(
        outstanding = outstanding + 1,
        connectionKeptUntil = Instant.DISTANT_PAST,
        recentSends = recentSends.removeAll { now - it >= SENDS_KEPT }.add(now)
    )

    internal fun ended(): GatewayUpstream = copy(outstanding = (outstanding - 1).coerceAtLeast(0))

    internal fun answered(now: Instant): GatewayUpstream =
        copy(failures = 0, blockedUntil = Instant.DISTANT_PAST, lastAnswerHeadAt = now)

    /** Records a complete answer; most upstreams keep the connection open for a while after it. */
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

    internal companion object {
        /** Rate limits of cold upstreams are configured as requests per second. */
        val RATE_WINDOW: Duration = 1.seconds

        /** Longest time over which sends are counted. */
        val SENDS_KEPT: Duration = 8.seconds

        /**
         * Connections are kept for 250 ms if the upstream states no keep-alive time; the
         * difference allows for the network delay to the upstream.
         */
        private val CONNECTION_KEPT_TIME = 200.milliseconds

        /** Backoff after the first failure; a tenth of the restart time of a crashed engine. */
        private val INITIAL_BACKOFF = 250.milliseconds

        /**
         * Limits the backoff to four seconds, so that the entry soon notices when an upstream has
         * recovered.
         */
        private const val MAX_DOUBLINGS = 4
    }
}

/** A request whose [attempt] was lost at an upstream, which the request may have crashed. */
public data class Suspect(
    val fingerprint: RequestFingerprint,
    val attempt: AttemptId,
    val at: Instant,
    val sharedParts: PersistentSet<PromptPart> = persistentSetOf()
)
