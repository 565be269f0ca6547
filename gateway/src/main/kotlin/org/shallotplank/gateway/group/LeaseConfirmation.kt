package org.shallotplank.gateway.group

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Another entry's report of a group's lease; it confirms the lease if the terms agree.
 *
 * @property lastContactAt when the report was requested.
 * @property term the last term that the entry observed, null if it knows none.
 * @property storeAge age of its copy of the lease rows when it reported, null if unknown.
 */
internal data class LeaseConfirmation(
    val lastContactAt: Instant,
    val term: Long?,
    val storeAge: Duration?
)

/**
 * Returns when the lease of [term] was last confirmed.
 *
 * The next holder starts only [LeaseGuard.TAKEOVER_DELAY] after it first saw its own row. The lease
 * is therefore confirmed by a read from the store, by any entry that read the same term from the
 * store, and, while no entry can read the store, by all other entries together: none of them had
 * observed a next holder when its report was requested.
 *
 * @param term the term that this entry holds, which need not be the last one that it observed.
 * @param ownConfirmedAt start of this entry's last read that showed the lease of [term].
 * @param confirmations one for each other registered entry, null for those without a live report.
 */
internal fun confirmedAt(
    term: Long,
    ownConfirmedAt: Instant,
    confirmations: Collection<LeaseConfirmation?>
): Instant {
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
