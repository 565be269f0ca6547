package org.shallotplank.gateway.group

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps two holders of a lease from acting at the same time where ranks do not check fences.
 *
 * A holder acts only while the store has confirmed its row of late, and its successor begins after
 * that time has passed. Where ranks check fences, they tell the holders apart themselves, and the
 * guard allows everything.
 *
 * @param confirmedAt when a group's lease was last known to be as it is seen here.
 * @param wallClock runs on while the machine is suspended, which the steady clock does not.
 */
internal class LeaseGuard(
    val areFencesChecked: Boolean,
    private val clock: Clock,
    private val wallClock: Clock,
    private val confirmedAt: (group: String) -> Instant
) {
    private var clockOffset: Duration = wallClock.now() - clock.now()
    private var lastSuspensionAt: Instant = Instant.DISTANT_PAST

    /** Whether the holder of the lease of [group] may give orders now. */
    fun mayIssueOrders(group: String): Boolean {
        if (areFencesChecked) return true
        val confirmed = confirmedAt(group)
        return isAfterLastSuspension(confirmed) && clock.now() - confirmed <= VALIDITY
    }

    /** Whether the steady clock tells how long ago [instant] was. */
    fun isAfterLastSuspension(instant: Instant): Boolean {
        detectSuspension(clock.now())
        return instant > lastSuspensionAt
    }

    /** Whether a holder may begin whose row was first seen at [firstSeenAt]. */
    fun mayTakeOver(firstSeenAt: Instant, isPreviousHolderGone: Boolean): Boolean =
        areFencesChecked || isPreviousHolderGone || clock.now() - firstSeenAt >= TAKEOVER_DELAY

    /** A jump between the clocks is a suspension, or a harmless step of the time of day. */
    private fun detectSuspension(now: Instant) {
        val currentOffset = wallClock.now() - now
        if ((currentOffset - clockOffset).absoluteValue > MAX_OFFSET_CHANGE) lastSuspensionAt = now
        clockOffset = currentOffset
    }

    internal companion object {
        /** Two calls for the table of leases, one after the other, fit in; see [MAX_POLL_WAIT]. */
        val VALIDITY: Duration = 4.seconds

        /** Longest call for the table of leases where their rows have to be confirmed. */
        val MAX_POLL_WAIT: Duration = 1_600.milliseconds

        /** The validity, and a second for orders that are on their way. */
        val TAKEOVER_DELAY: Duration = VALIDITY + 1.seconds

        /** Far above what the clocks differ by between two ticks. */
        private val MAX_OFFSET_CHANGE = 300.milliseconds
    }
}
