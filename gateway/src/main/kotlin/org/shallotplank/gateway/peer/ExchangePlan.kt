package org.shallotplank.gateway.peer

import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/** What an entry knows of another entry's ability to pass reports on. */
internal enum class ExchangeState {
    /** Its report is recent and it serves callers. */
    SERVING,

    /** Its report is recent, and it neither serves callers nor stops, as after its start. */
    STARTING,

    /** Nothing is known of it since this entry started. */
    UNKNOWN,

    /** It stops, or its last report is too old. */
    AWAY
}

/**
 * A registered entry as another one sees it.
 *
 * @property offersExchange false for entries of builds that do not have the exchange.
 * @property isAvoided whether a call to it has just failed.
 * @property isCovered whether a recent report of it came by exchange.
 */
internal data class ExchangeEntry(
    val instance: InstanceId,
    val address: Address,
    val zone: ZoneName,
    val state: ExchangeState = ExchangeState.UNKNOWN,
    val offersExchange: Boolean = true,
    val isAvoided: Boolean = false,
    val isCovered: Boolean = false
)

/**
 * How one entry gets the reports of the others.
 *
 * @property sources hubs from which it takes all reports, the next one to ask first; only the
 *   first that answers is used. Empty for a hub.
 * @property hubs hubs that it asks for the reports of their members, all of them.
 * @property polled entries whose reports it requests directly.
 */
internal data class ExchangePlan(
    val sources: List<Address> = emptyList(),
    val hubs: Set<Address> = emptySet(),
    val polled: Set<Address> = emptySet()
)

/**
 * Decides how [own] gets the reports of [others].
 *
 * Up to [maxPollingEntries] entries, each polls all others. Above, each takes them from a hub of
 * its zone, else of another zone; without any hub that answers, it polls all others.
 *
 * @param isAsked whether other entries have recently used this one as their hub. It then acts as
 *   one, although in its own view others may come first.
 * @param callingHubs hubs that have recently asked this entry for reports.
 */
internal fun planExchange(
    own: ExchangeEntry,
    others: List<ExchangeEntry>,
    maxPollingEntries: Int,
    isAsked: Boolean = false,
    callingHubs: Set<Address> = emptySet()
): ExchangePlan {
    val all = others.map { it.address }.toSet()
    if (others.size + 1 <= maxPollingEntries) return ExchangePlan(polled = all)
    val entriesByZone = (others + own).groupBy { it.zone }
    val hubsByZone = entriesByZone.mapValues { (_, entries) -> hubsOf(entries) }
    val avoided = others.filter { it.isAvoided }.map { it.address }.toSet()
    val isHub = isAsked || hubsByZone[own.zone].orEmpty().any { it.address == own.address }
    if (!isHub) {
        val place = Math.floorMod(own.instance.value.hashCode(), HUBS_PER_ZONE)
        val sources = sourcesOf(own.zone, hubsByZone, place) - avoided
        return ExchangePlan(
            sources = sources,
            polled = if (sources.isEmpty()) all else emptySet()
        )
    }
    val hubs = hubsByZone.values.flatten().map { it.address }.toSet() + callingHubs - own.address
    val polled = entriesByZone
        .filter { (zone, entries) -> zone == own.zone || !hasServingHub(entries) }
        .flatMap { (_, entries) -> entries.filterNot { it.isCovered } }
        .map { it.address }
    return ExchangePlan(hubs = hubs - avoided, polled = polled.toSet() - own.address)
}

/**
 * The hubs of a zone with [entries]: the first two that serve callers.
 *
 * Where none is known to serve, as when all entries start together, the first two that might.
 */
internal fun hubsOf(entries: List<ExchangeEntry>): List<ExchangeEntry> {
    val offering = entries.filter { it.offersExchange }
    val serving = offering.filter { it.state == ExchangeState.SERVING }
    return serving.ifEmpty { offering.filter { it.state != ExchangeState.AWAY } }
        .sortedBy { it.instance.value }
        .take(HUBS_PER_ZONE)
}

private fun hasServingHub(entries: List<ExchangeEntry>): Boolean =
    entries.any { it.offersExchange && it.state == ExchangeState.SERVING }

/** Hubs of [zone] and then of the others, from [place] on so that members spread over them. */
private fun sourcesOf(
    zone: ZoneName,
    hubsByZone: Map<ZoneName, List<ExchangeEntry>>,
    place: Int
): List<Address> {
    val local = hubsByZone[zone].orEmpty()
    val remote = (hubsByZone - zone).toSortedMap(compareBy { it.value }).values.flatten()
    return (local.rotated(place) + remote.rotated(place)).map { it.address }
}

private fun <T> List<T>.rotated(by: Int): List<T> = drop(by % size.coerceAtLeast(1)) +
    take(by % size.coerceAtLeast(1))

/** Two, so that members have another one in their zone when one ends. */
private const val HUBS_PER_ZONE = 2
