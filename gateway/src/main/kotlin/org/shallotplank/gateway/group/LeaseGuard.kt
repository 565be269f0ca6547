package org.shallotplank.gateway.group

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps two lease holders from issuing orders at the same time where ranks do not check fences.
 *
 * A holder issues orders only within [VALIDITY] of the last confirmation of its lease, and the next
 * holder waits until that time has passed. Where ranks check fences, they refuse the previous
 * holder's orders themselves, and the guard allows everything.
 *
 * @param wallClock advances while the machine is suspended, unlike the steady clock.
 */
internal class LeaseGuard(
    val areFencesChecked: Boolean,
    private val clock: Clock,
    private val wallClock: Clock
) {
    private var clockOffset: Duration = wallClock.now() - clock.now()
    private var offsetReadAt: Instant = clock.now()
    private var lastSuspensionAt: Instant = Instant.DISTANT_PAST

    /**
     * Whether the holder of a lease that was last confirmed at [confirmedAt] may issue orders now.
     *
     * Always true where ranks check fences.
     */
    fun mayIssueOrders(confirmedAt: () -> Instant): Boolean {
        if (areFencesChecked) return true
        val confirmed = confirmedAt()
        return isAfterLastSuspension(confirmed) && clock.now() - confirmed <= VALIDITY
    }

    /** Whether [instant] is after the last suspension, so that [clock] has run since then. */
    fun isAfterLastSuspension(instant: Instant): Boolean {
        detectSuspension(clock.now())
        return instant > lastSuspensionAt
    }

    /** Whether a holder that first saw its own row at [firstSeenAt] may start to keep its group. */
    fun mayTakeOver(firstSeenAt: Instant, isPreviousHolderGone: Boolean): Boolean =
        isPreviousHolderGone || hasTakeoverDelayPassed(firstSeenAt)

    /** Whether no holder before the lease that was first seen at [firstSeenAt] issues orders. */
    fun hasTakeoverDelayPassed(firstSeenAt: Instant): Boolean =
        areFencesChecked || clock.now() - firstSeenAt >= TAKEOVER_DELAY

    /**
     * Records a suspension when the offset between the clocks changes.
     *
     * Short suspensions add up within [VALIDITY]. A jump of the wall clock is recorded as a
     * suspension too, which is harmless.
     */
    private fun detectSuspension(now: Instant) {
        val currentOffset = wallClock.now() - now
        val isSuspended = (currentOffset - clockOffset).absoluteValue > MAX_OFFSET_CHANGE
        if (isSuspended) lastSuspensionAt = now
        if (isSuspended || now - offsetReadAt >= VALIDITY) {
            clockOffset = currentOffset
            offsetReadAt = now
        }
    }

    internal companion object {
        /** Time for two consecutive polls of the lease table; see [MAX_POLL_WAIT]. */
        val VALIDITY: Duration = 4.seconds

        /** Maximum duration of a long poll of the lease table where ranks do not check fences. */
        val MAX_POLL_WAIT: Duration = 1_600.milliseconds

        /** [VALIDITY] plus one second for orders in flight. */
        val TAKEOVER_DELAY: Duration = VALIDITY + 1.seconds

        /** Far above the change of the clock offset within [VALIDITY] without a suspension. */
        private val MAX_OFFSET_CHANGE = 300.milliseconds
    }
}
