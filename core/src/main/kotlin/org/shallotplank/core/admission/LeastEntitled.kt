package org.shallotplank.core.admission

import kotlinx.collections.immutable.PersistentList

/**
 * Chooses the request to drop from a full queue.
 *
 * Considers only requests of the least urgent priority, and chooses one of the customer with the
 * highest ratio of waiting requests to weight. Ties go to the customer that is furthest ahead of
 * its fair share, and then to the latest arrival.
 */
internal fun PersistentList<AdmissionRequest>.leastEntitled(shares: FairShares): AdmissionRequest {
    val lowest = maxOf { it.priority }
    val candidates = filter { it.priority == lowest }
    val waitingByCustomer = groupingBy { it.customer }.eachCount()
    return candidates.reversed().maxWith(
        compareBy(
            { waitingByCustomer.getValue(it.customer).toDouble() / it.weight.coerceAtLeast(1) },
            { shares.startTag(it.customer) }
        )
    )
}
