package org.shallotplank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.shallotplank.core.InstanceId

/**
 * Where an entry stands among the entries that share an upstream.
 *
 * @property distance entries between the upstream's owner and this entry, 0 for the owner itself.
 * @property isPreferred whether this entry is the owner, or takes its place while it is away.
 */
public data class UpstreamOwnership(val distance: Int, val isPreferred: Boolean)

/**
 * Divides the upstreams of each service among [entries], without any message between them.
 *
 * Both are ordered by zone, and each entry owns the same number of upstreams in a row, so that most
 * are in its own zone. Entries with the same lists come to the same result. A service with fewer
 * upstreams than entries is preferred by all of them.
 *
 * @param own the entry that asks; it has to be among [entries].
 * @param serving the entries that serve now, which take the places of the others.
 */
internal fun PersistentMap<UpstreamKey, GatewayUpstream>.withOwnership(
    entries: Collection<EntryLocation>,
    own: InstanceId,
    serving: Set<InstanceId>
): PersistentMap<UpstreamKey, GatewayUpstream> {
    val order = entries
        .sortedWith(compareBy({ it.zone.value }, { it.instance.value }))
        .map { it.instance }
    val ownIndex = order.indexOf(own)
    if (ownIndex < 0) return this
    return mutate { map ->
        for (upstreams in values.groupBy { it.record.service }.values) {
            val sorted = upstreams.sortedWith(
                compareBy({ it.record.zone.value }, { it.record.id.value }, { it.key.incarnation })
            )
            sorted.forEachIndexed { index, upstream ->
                val ownerIndex = index * order.size / sorted.size
                val place = UpstreamOwnership(
                    distance = (ownIndex - ownerIndex).mod(order.size),
                    isPreferred = sorted.size < order.size ||
                        order.firstServing(ownerIndex, own, serving) == own
                )
                if (upstream.ownership != place) {
                    map[upstream.key] = upstream.copy(ownership = place)
                }
            }
        }
    }
}

/** The first entry from [start] on that serves; the entry that asks always counts. */
private fun List<InstanceId>.firstServing(
    start: Int,
    own: InstanceId,
    serving: Set<InstanceId>
): InstanceId = indices.asSequence()
    .map { this[(start + it) % size] }
    .first { it == own || it in serving }

/**
 * Part of [ratePerSecond] that the entry at [distance] of [entryCount] entries may use.
 *
 * The owner has half of it. The others share the rest, and where it is less than one request for
 * each of them, only the nearest ones have any. All shares together never exceed the rate, but for
 * the one request of the owner of an upstream that bears less than one.
 */
internal fun rateShare(ratePerSecond: Double, distance: Int, entryCount: Int): Int {
    val whole = ratePerSecond.toInt()
    if (entryCount <= 1) return whole.coerceAtLeast(1)
    val others = whole / 2
    return when {
        distance == 0 -> (whole - others).coerceAtLeast(1)
        entryCount - 1 <= others -> others / (entryCount - 1)
        else -> if (distance <= others) 1 else 0
    }
}
