package org.shallotplank.core.admission

import kotlinx.collections.immutable.PersistentList

/**
 * Chooses the request to drop from a full queue.
 *
 * Among the requests of the least urgent priority it takes one of the customer with the most
 * waiting requests for its weight, then the one furthest ahead of its fair share, then the latest
 * arrival.
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
