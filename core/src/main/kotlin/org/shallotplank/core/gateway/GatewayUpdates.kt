package org.shallotplank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import org.shallotplank.core.Step
import org.shallotplank.core.ZoneName
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Applies a configuration unless the same or a newer version is in force. */
internal fun GatewayState.onRoutesAccepted(
    table: RouteTable,
    context: GatewayContext
): GatewayStep {
    val present = routes
    if (present != null && present.version > table.version) {
        val ignored = logRecord(
            LogEvent.GATEWAY_ROUTES_IGNORED,
            "version" to table.version,
            "in_force" to present.version
        )
        return logged(ignored)
    }
    if (present?.version == table.version) return Step(this)
    val record = logRecord(
        LogEvent.GATEWAY_ROUTES_IN_FORCE,
        "version" to table.version,
        "previous" to present?.version,
        "routes" to table.routes.size,
        "services" to table.services.size,
        "credentials" to table.customersByCredential.size
    )
    return copy(routes = table).logged(record)
        .then { it.resizeQueues(context) }
        .then { it.releaseEarlyRequests(context) }
}

/**
 * Applies a changed list of upstreams.
 *
 * Requests that run at an upstream continue after it leaves the list. Such an upstream is kept,
 * marked as leaving, while it has open attempts or sends that count towards its rate, because its
 * row may reappear.
 */
internal fun GatewayState.onUpstreamsListed(
    listed: PersistentList<ListedUpstream>,
    context: GatewayContext
): GatewayStep {
    val present = listed.withoutSuperseded()
        .associateBy { it.record.key }
    val next = upstreams.mutate { map ->
        for ((key, entry) in present) {
            val known = map[key]
                ?: GatewayUpstream(entry.record, notice = notices[key] ?: ObservedNotice())
            map[key] = known.copy(
                record = entry.record,
                isListed = true,
                missingSince = entry.missingSince
            )
        }
        for (gone in map.keys.filter { it !in present }) {
            val known = map.getValue(gone)
            if (known.isIdle(context.now)) {
                map.remove(gone)
            } else {
                map[gone] = known.copy(
                    record = known.record.copy(isLeaving = true),
                    isListed = false
                )
            }
        }
    }
    val records = (upstreams.keys + next.keys).mapNotNull { key ->
        changeOf(upstreams[key], next[key])?.let { change ->
            val record = (next[key] ?: upstreams.getValue(key)).record
            logRecord(
                LogEvent.GATEWAY_UPSTREAM_CHANGED,
                "upstream" to key,
                "service" to record.service,
                "zone" to record.zone,
                "address" to record.address,
                "change" to change
            )
        }
    }
    val state = copy(upstreams = divideUpstreams(next))
    return records.fold(GatewayStep(state)) { step, record -> step.then { it.logged(record) } }
        .then { it.resizeQueues(context) }
}

/**
 * Drops upstreams whose address a later incarnation has registered.
 *
 * Their processes have ended; their rows stay in the store until they expire.
 */
private fun List<ListedUpstream>.withoutSuperseded(): List<ListedUpstream> {
    val latest = groupingBy { it.record.address }
        .fold(0L) { latest, entry -> maxOf(latest, entry.record.incarnation) }
    return filter { it.record.incarnation >= (latest[it.record.address] ?: 0) }
}

private fun changeOf(before: GatewayUpstream?, after: GatewayUpstream?): String? = when {
    before == null && after != null -> "added"
    before != null && after == null -> "removed"
    before == null || after == null -> null
    !before.record.isLeaving && after.record.isLeaving -> "leaving"
    before.missingSince == null && after.missingSince != null -> "missing"
    before.missingSince != null && after.missingSince == null -> "returned"
    else -> null
}

internal fun GatewayState.onEvacuationsChanged(
    zones: PersistentSet<ZoneName>,
    context: GatewayContext
): GatewayStep {
    if (zones == outOfService) return Step(this)
    val record = logRecord(
        LogEvent.GATEWAY_ZONES_CHANGED,
        "out_of_service" to zones.joinToString(","),
        "before" to outOfService.joinToString(",")
    )
    val changed = copy(outOfService = zones)
    return changed.copy(upstreams = changed.divideUpstreams())
        .logged(record)
        .then { it.resizeQueues(context) }
}

internal fun GatewayState.onPeersReported(
    event: GatewayEvent.PeersReported,
    context: GatewayContext
): GatewayStep {
    val isChanged = event.entries != entries || event.serving != servingEntries
    val divided = if (isChanged) {
        divideUpstreams(entries = event.entries, serving = event.serving)
    } else {
        upstreams
    }
    val counted = copy(
        entryCount = event.entryCount.coerceAtLeast(1),
        entries = event.entries,
        servingEntries = event.serving,
        upstreams = divided.mutate { map ->
            for ((key, upstream) in divided) {
                val others = event.inFlight[key] ?: 0
                val slowdown = event.slowdowns[key.id] ?: 1.0
                if (others == upstream.othersOutstanding && slowdown == upstream.slowdown) continue
                map[key] = upstream.copy(othersOutstanding = others, slowdown = slowdown)
            }
        }
    )
    return counted.markLeaving(event.leaving, "peer")
        .then { it.updateSlowLimits(context) }
        .then { it.resizeQueues(context) }
}
