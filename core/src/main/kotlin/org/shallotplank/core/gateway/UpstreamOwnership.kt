package org.shallotplank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName

/**
 * Position of one entry relative to the owner of an upstream.
 *
 * The owner prefers the upstream and gets half of its rate limit; see [rateShare].
 *
 * @property distance positions from the owner to this entry in the cyclic order of the entries, 0
 *   for the owner itself.
 * @property isPreferred whether this entry prefers the upstream: as the owner, as the substitute of
 *   an owner that does not serve, or because the service has fewer upstreams than entries.
 */
public data class UpstreamOwnership(val distance: Int, val isPreferred: Boolean)

/**
 * Divides the upstreams of each service among [entries] without communication between them.
 *
 * Entries and upstreams are both sorted by zone, and each entry owns an almost equal number of
 * consecutive upstreams, so that most are in its own zone. Entries with the same lists compute the
 * same result. If a service has fewer upstreams than entries, every entry prefers all of them.
 * Upstreams that are not listed are left out, since each entry keeps others of them.
 *
 * @param own this entry; the map is returned unchanged if it is not among [entries].
 * @param serving entries that serve now; they substitute for owners that do not.
 * @param isShared whether an upstream is divided among all entries without regard to those for
 *   which this is false. Those are divided as if all were.
 */
internal fun PersistentMap<UpstreamKey, GatewayUpstream>.withOwnership(
    entries: Collection<EntryLocation>,
    own: InstanceId,
    serving: Set<InstanceId>,
    isShared: (GatewayUpstream) -> Boolean = { true }
): PersistentMap<UpstreamKey, GatewayUpstream> {
    val order = entries
        .sortedWith(compareBy({ it.zone.value }, { it.instance.value }))
        .map { it.instance }
    if (own !in order) return this
    val ownerships = HashMap<UpstreamKey, UpstreamOwnership>()
    for (upstreams in values.filter { it.isListed }.groupBy { it.record.service }.values) {
        ownerships += upstreams.dividedAmong(order, own, serving)
        ownerships += upstreams.filter(isShared).dividedAmong(order, own, serving)
    }
    return mutate { map ->
        for ((key, ownership) in ownerships) {
            val upstream = map.getValue(key)
            if (upstream.ownership != ownership) map[key] = upstream.copy(ownership = ownership)
        }
    }
}

private fun List<GatewayUpstream>.dividedAmong(
    order: List<InstanceId>,
    own: InstanceId,
    serving: Set<InstanceId>
): Map<UpstreamKey, UpstreamOwnership> {
    val ownIndex = order.indexOf(own)
    val sorted = sortedWith(
        compareBy({ it.record.zone.value }, { it.record.id.value }, { it.key.incarnation })
    )
    return sorted.withIndex().associate { (index, upstream) ->
        val ownerIndex = index * order.size / sorted.size
        upstream.key to UpstreamOwnership(
            distance = (ownIndex - ownerIndex).mod(order.size),
            isPreferred = sorted.size < order.size ||
                order.firstServing(ownerIndex, own, serving) == own
        )
    }
}

/**
 * The upstreams divided among [entries].
 *
 * Where the rate of an upstream is too low for a share of each entry, the upstreams in service are
 * divided by themselves. Otherwise the entries whose upstreams are in a zone out of service would
 * have no share of any other.
 */
internal fun GatewayState.divideUpstreams(
    upstreams: PersistentMap<UpstreamKey, GatewayUpstream> = this.upstreams,
    entries: Collection<EntryLocation> = this.entries,
    serving: Set<InstanceId> = servingEntries
): PersistentMap<UpstreamKey, GatewayUpstream> =
    upstreams.withOwnership(entries, settings.instance, serving) {
        isInService(it) || hasShareForAll(it.record.service, entries.size)
    }

private fun GatewayState.hasShareForAll(service: ServiceName, entryCount: Int): Boolean {
    val rate = service(service)?.coldRatePerSecond ?: return true
    return rateShare(rate, distance = entryCount - 1, entryCount) > 0
}

/** The first serving entry from index [start] on, cyclically; [own] always counts as serving. */
private fun List<InstanceId>.firstServing(
    start: Int,
    own: InstanceId,
    serving: Set<InstanceId>
): InstanceId = indices.asSequence()
    .map { this[(start + it) % size] }
    .first { it == own || it in serving }

/**
 * Share of [rate], in requests over some time, for the entry at [distance] from the owner, among
 * [entryCount] entries.
 *
 * The owner gets half, rounded up. The others share the rest equally; if that is less than one
 * request each, only the nearest ones get one. The shares never add up to more than the rate, with
 * one exception: the owner gets one request even if the rate is below one.
 */
internal fun rateShare(rate: Double, distance: Int, entryCount: Int): Int {
    val whole = rate.toInt()
    if (entryCount <= 1) return whole.coerceAtLeast(1)
    val others = whole / 2
    return when {
        distance == 0 -> (whole - others).coerceAtLeast(1)
        entryCount - 1 <= others -> others / (entryCount - 1)
        else -> if (distance <= others) 1 else 0
    }
}
