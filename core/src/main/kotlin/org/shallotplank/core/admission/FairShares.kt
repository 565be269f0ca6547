package org.shallotplank.core.admission

import kotlin.math.max
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.CustomerName

/**
 * Start-time fair queuing: the weighted service that each customer has received.
 *
 * Each admission increases its customer's tag by 1 / weight; the lowest tag goes first. A customer
 * that was idle starts again at [virtualTime], so it does not accumulate a share while idle.
 * [virtualTime] follows the admissions, so a customer is not charged for service that it received
 * without contention. Only tags ahead of [virtualTime] are kept.
 */
internal data class FairShares(
    val virtualTime: Double = 0.0,
    val tags: PersistentMap<CustomerName, Double> = persistentMapOf()
) {
    /** Tag with which the next admission of [customer] starts. */
    fun startTag(customer: CustomerName): Double = max(virtualTime, tags[customer] ?: virtualTime)

    /** Accounts for one admission of [customer]. */
    fun afterAdmission(customer: CustomerName, weight: Int): FairShares {
        val start = startTag(customer)
        val moved = tags.put(customer, start + 1.0 / max(1, weight))
        val passed = moved.filterValues { it <= start }.keys
        return FairShares(start, passed.fold(moved) { kept, name -> kept.remove(name) })
    }
}
