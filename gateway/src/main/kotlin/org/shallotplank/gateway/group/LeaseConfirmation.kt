package org.shallotplank.gateway.group

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What another entry told of a group's lease.
 *
 * @property lastContactAt when it was asked.
 * @property term the term that it saw last, null if it knows none.
 * @property storeAge time since the store last told it the rows of leases, null if it never has.
 */
internal data class LeaseConfirmation(
    val lastContactAt: Instant,
    val term: Long?,
    val storeAge: Duration?
)

/**
 * When the lease of [term] was last known to be in force.
 *
 * A successor begins only after it has seen its own row for [LeaseGuard.TAKEOVER_DELAY]. The lease
 * is therefore confirmed by the store itself, by any entry that the store told of it, and, while
 * the store tells nobody, by all other entries together: none of them had seen a successor when it
 * was asked.
 *
 * @param ownConfirmedAt start of the last call by which the store told this entry the rows of
 *   leases.
 * @param confirmations one for each other entry that is registered, null for those not heard of.
 */
internal fun confirmedAt(
    term: Long?,
    ownConfirmedAt: Instant,
    confirmations: Collection<LeaseConfirmation?>
): Instant {
    if (term == null) return ownConfirmedAt
    val agreeing = confirmations.filterNotNull().filter { it.term == term }
    val confirmedByStore = agreeing.mapNotNull {
        it.storeAge?.let { age -> it.lastContactAt - age }
    }
    val isUnanimous = confirmations.isNotEmpty() && agreeing.size == confirmations.size
    val confirmedByAllPeers = if (isUnanimous) {
        agreeing.minOf {
            it.lastContactAt
        }
    } else {
        Instant.DISTANT_PAST
    }
    return maxOf(
        ownConfirmedAt,
        confirmedByStore.maxOrNull() ?: ownConfirmedAt,
        confirmedByAllPeers
    )
}
