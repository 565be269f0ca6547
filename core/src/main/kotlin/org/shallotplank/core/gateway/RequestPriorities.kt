package org.shallotplank.core.gateway

import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Priority

/**
 * Priority of a request among those of its service.
 *
 * @property level position among the priorities that the service's requests can have, or the
 *   configured number if there is only one; lower is more urgent.
 * @property admission class in which the request is admitted.
 */
internal data class RequestPriority(val level: Int, val admission: Priority)

/**
 * The priorities that the requests of each service can have.
 *
 * The priority of the customer decides first. Requests of customers with the same priority, which
 * may be all of them, are ordered by the priority of their route.
 *
 * @param senders returns the holders whose requests a route accepts, with null for requests without
 *   a customer.
 */
internal class RequestPriorities(
    routes: List<Route>,
    senders: (Route) -> Collection<CredentialHolder?>
) {
    private val ordered: Map<ServiceName, List<PriorityPair>> = buildMap {
        for (route in routes) {
            val pairs = senders(route).map { pairOf(route, it) }
            route.targets.forEach { getOrPut(it.service) { HashSet<PriorityPair>() } += pairs }
        }
    }.mapValues { (_, pairs) -> pairs.sortedWith(ORDER) }

    /** Services whose requests are admitted in more than one class. */
    val servicesOfSeveralClasses: Set<ServiceName> = ordered.filterValues { it.size > 1 }.keys

    /** The priority of requests on [route] at [service]; [holder] is null without a customer. */
    fun of(route: Route, holder: CredentialHolder?, service: ServiceName): RequestPriority {
        val pairs = ordered[service].orEmpty()
        // A single priority is passed on as configured.
        if (pairs.size <= 1) return RequestPriority(pairOf(route, holder).customer, ONLY_CLASS)
        // The index of a configured pair. One that is not configured takes its place among them.
        val own = pairOf(route, holder)
        val level = pairs.count { ORDER.compare(it, own) < 0 }.coerceAtMost(pairs.size - 1)
        val classes = Priority.entries
        val index = if (pairs.size <= classes.size) level else level * classes.size / pairs.size
        return RequestPriority(level, classes[index])
    }

    private fun pairOf(route: Route, holder: CredentialHolder?) =
        PriorityPair(customer = holder?.priority ?: route.priority, route = route.priority)

    private data class PriorityPair(val customer: Int, val route: Int)

    private companion object {
        val ONLY_CLASS = Priority.entries.first()
        val ORDER = compareBy<PriorityPair>({ it.customer }, { it.route })
    }
}
