package org.shallotplank.gateway.group

import kotlin.time.Instant

/** The lease of one group as the entry [own] has observed it. */
internal class ObservedLease(private val own: KeeperCandidate) {
    /** Term of the lease, null while there is none. */
    var term: Long? = null
        private set

    /** The highest term so far, 0 if there was no lease yet. */
    var highestTerm: Long = 0
        private set

    /** The lease if [own] holds it, else null. */
    var held: HeldLease? = null
        private set

    private var lastLease: GroupLease? = null
    private var lastLeaseSeenAt: Instant = Instant.DISTANT_PAST
    private var confirmedTerm: Long? = null
    private var lastConfirmedAt: Instant = Instant.DISTANT_PAST

    /** Era of the store in which there last was a lease. */
    private var lastEra: Long? = null

    /**
     * Records the lease as it was at [now] in [era] of the store, null if there was none.
     *
     * @param isEnded whether there is a lease of an earlier era.
     */
    fun record(lease: GroupLease?, era: Long, isEnded: Boolean, now: Instant) {
        // A group without any lease is new, so that its first lease has no previous holder.
        if (lastEra == null && !isEnded) lastEra = era
        term = lease?.term
        recordHeld(lease, era, now)
        if (lease?.term != lastLease?.term) lastLeaseSeenAt = now
        lastLease = lease
        if (lease == null) return
        highestTerm = maxOf(highestTerm, lease.term)
        lastEra = era
    }

    /** Records that a read which began at [readAt] showed that [own] holds [lease]. */
    fun confirm(lease: GroupLease, readAt: Instant) {
        if (confirmedTerm != lease.term) lastConfirmedAt = Instant.DISTANT_PAST
        confirmedTerm = lease.term
        lastConfirmedAt = maxOf(lastConfirmedAt, readAt)
    }

    /** Start of the last read that showed that [own] holds the lease of [term]. */
    fun confirmedAt(term: Long): Instant =
        if (term == confirmedTerm) lastConfirmedAt else Instant.DISTANT_PAST

    private fun recordHeld(lease: GroupLease?, era: Long, now: Instant) {
        if (lease == null || !lease.isHeldBy(own)) {
            held = null
        } else if (held?.term != lease.term) {
            held = HeldLease(
                term = lease.term,
                firstSeenAt = now,
                previous = lastLease,
                previousSeenAt = lastLeaseSeenAt,
                isPreviousKnown = lastEra == era
            )
        }
    }
}

/**
 * A lease that this entry holds.
 *
 * @property previous the lease that the entry observed before, null if there was none.
 * @property previousSeenAt when the entry first observed [previous].
 * @property isPreviousKnown false if a restored store may have lost leases after [previous].
 */
internal class HeldLease(
    val term: Long,
    val firstSeenAt: Instant,
    val previous: GroupLease?,
    val previousSeenAt: Instant,
    val isPreviousKnown: Boolean
) {
    /**
     * Whether this entry may keep the group after the previous holder.
     *
     * Never reset, since the peer report that showed it may expire.
     */
    var isTakeoverAllowed: Boolean = false
}
