package org.shallotplank.config

import arrow.core.raise.nullable
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.work.WorkRouting

private const val HOUR_SECONDS = 3_600
private const val PORT_MAX = 65_535
private const val MAX_POLLING_ENTRIES = 1_000
private const val MAX_HELD_MEGABYTES = 65_536
private const val MEGABYTE_BYTES = 1_048_576L
private const val MAX_RETRY_SLACK = 1_000_000

/** Keys of the settings of a gateway entry. */
internal object GatewayKeys {
    val listenAddress = KeySpec(
        name = "listen_address",
        rule = listenAddress(),
        doc = "Where callers connect."
    )
    val readinessAddress = KeySpec(
        name = "readiness_address",
        rule = listenAddress(),
        doc = "Where the platform asks whether the process is ready."
    )
    val directoryAddress = KeySpec(
        name = "directory_address",
        rule = listenAddress(),
        doc = "Where callers ask which entries they may use."
    )
    val peerAddress = KeySpec(
        name = "peer_address",
        rule = listenAddress(),
        doc = "Where other gateway entries ask for reports and copies of tables."
    )
    val storeAddress = KeySpec(
        name = "store_address",
        rule = remoteAddress(),
        doc = "The platform's store."
    )
    val metricsPort = KeySpec(
        name = "metrics_port",
        rule = wholeNumber(1..PORT_MAX),
        doc = "Port on which metrics are served, at the IP number of `listen_address`."
    )
    val relayPort = KeySpec(
        name = "relay_port",
        rule = wholeNumber(1..PORT_MAX),
        required = false,
        doc = "Port of the relays on the engines' machines. Left out where there are none; the " +
            "engines are then asked from afar, which stops their group for a moment."
    )
    val seedAddresses = KeySpec(
        name = "seed_addresses",
        rule = remoteAddresses(),
        default = persistentListOf(),
        doc = "Peer addresses of some entries, asked before the store has told all of them. They " +
            "may be out of date."
    )
    val maxConnections = KeySpec(
        name = "max_connections",
        rule = roundedDown(16..1_000_000, unit = "connections"),
        doc = "Connections that the process may have open; most of them may be callers'."
    )
    val stopGrace = KeySpec(
        name = "stop_grace_seconds",
        rule = fractionalSeconds(1..HOUR_SECONDS),
        doc = "Time between the request to stop and the moment at which the process is killed."
    )
    val entryListTtl = KeySpec(
        name = "entry_list_ttl_seconds",
        rule = fractionalSeconds(1..HOUR_SECONDS),
        doc = "Longest time for which callers may keep a list of entries; they are given at most " +
            "two seconds of it."
    )
    val retryRatio = KeySpec(
        name = "retry_ratio",
        rule = ratio(),
        doc = "Retries per request that all entries together may add to a service."
    )
    val retryWindow = KeySpec(
        name = "retry_window_seconds",
        rule = fractionalSeconds(1..HOUR_SECONDS),
        doc = "Span over which retries are counted."
    )
    val retrySlack = KeySpec(
        name = "retry_slack",
        rule = roundedDown(0..MAX_RETRY_SLACK, unit = "retries"),
        doc = "Retries in any such span that are free, over all entries together."
    )
    val areFencesChecked = KeySpec(
        name = "fences_checked",
        rule = flag(),
        doc = "Whether the ranks of groups refuse orders with a fencing number below one that " +
            "they saw. Where they do not, only the holder of a group's lease keeps it.",
        default = true
    )
    val maxPollingEntries = KeySpec(
        name = "max_polling_entries",
        rule = wholeNumber(1..MAX_POLLING_ENTRIES, unit = "entries"),
        doc = "Registered entries up to which each entry requests the reports of all others. " +
            "Above, entries exchange reports through hubs, the first two entries of each zone. " +
            "Give all entries the same number.",
        default = 24
    )
    val workBasedRouting = KeySpec(
        name = "work_based_routing",
        rule = choice<WorkRouting>(),
        doc =
        "Whether upstreams are chosen by expected work instead of the number of " +
            "requests. With `auto`, for model services whose answers differ widely in " +
            "length.",
        default = WorkRouting.AUTO
    )
    val maxHeldMegabytes = KeySpec(
        name = "max_held_megabytes",
        rule = wholeNumber(1..MAX_HELD_MEGABYTES),
        required = false,
        doc =
        "Memory that may be held for all callers together: heads, bodies and unread answers. " +
            "Left out, it is a third of the heap, at most half of the direct memory. It should " +
            "be at least four times `max_body_bytes` of the published limits."
    )
    val table = TableSpec(
        name = "",
        shape = TableShape.ROOT,
        doc = "Settings of one gateway entry.",
        keys = persistentListOf(
            ProcessKeys.instanceId,
            ProcessKeys.zone,
            listenAddress,
            readinessAddress,
            directoryAddress,
            peerAddress,
            storeAddress,
            metricsPort,
            relayPort,
            seedAddresses,
            maxConnections,
            stopGrace,
            entryListTtl,
            retryRatio,
            retryWindow,
            retrySlack,
            areFencesChecked,
            maxPollingEntries,
            workBasedRouting,
            maxHeldMegabytes
        )
    )
}

/** Settings of a gateway entry. */
internal val gatewaySettingsSpec =
    FileSpec("gateway entry settings", persistentListOf(GatewayKeys.table))

/** Reads the settings of a gateway entry from [source], with the checks of [readEntrySettings]. */
public fun readGatewayEntrySettings(source: SourceFile): Reading<GatewayEntrySettings> =
    readSettings(source, gatewaySettingsSpec, TableReader::gatewayEntrySettings)

private fun TableReader.gatewayEntrySettings(): GatewayEntrySettings? {
    val instanceId = read(ProcessKeys.instanceId)
    val zone = read(ProcessKeys.zone)
    val addresses = readDistinct(
        GatewayKeys.listenAddress,
        GatewayKeys.readinessAddress,
        GatewayKeys.directoryAddress,
        GatewayKeys.peerAddress,
        GatewayKeys.storeAddress
    )
    val metricsPort = read(GatewayKeys.metricsPort)
    val relayPort = read(GatewayKeys.relayPort)
    val seedAddresses = read(GatewayKeys.seedAddresses)
    val maxConnections = read(GatewayKeys.maxConnections)
    val stopGrace = read(GatewayKeys.stopGrace)
    val entryListTtl = read(GatewayKeys.entryListTtl)
    val retryRatio = read(GatewayKeys.retryRatio)
    val retryWindow = read(GatewayKeys.retryWindow)
    val retrySlack = read(GatewayKeys.retrySlack)
    val areFencesChecked = read(GatewayKeys.areFencesChecked)
    val maxPollingEntries = read(GatewayKeys.maxPollingEntries)
    val workBasedRouting = read(GatewayKeys.workBasedRouting)
    val maxHeldMegabytes = read(GatewayKeys.maxHeldMegabytes)
    return nullable {
        GatewayEntrySettings(
            instanceId = instanceId.bind(),
            zone = zone.bind(),
            listenAddress = addresses[GatewayKeys.listenAddress].bind(),
            readinessAddress = addresses[GatewayKeys.readinessAddress].bind(),
            directoryAddress = addresses[GatewayKeys.directoryAddress].bind(),
            peerAddress = addresses[GatewayKeys.peerAddress].bind(),
            storeAddress = addresses[GatewayKeys.storeAddress].bind(),
            metricsPort = metricsPort.bind(),
            relayPort = relayPort,
            seedAddresses = seedAddresses.bind(),
            maxConnections = maxConnections.bind(),
            stopGrace = stopGrace.bind(),
            entryListTtl = entryListTtl.bind(),
            retryRatio = retryRatio.bind(),
            retryWindow = retryWindow.bind(),
            retrySlack = retrySlack.bind(),
            areFencesChecked = areFencesChecked.bind(),
            maxPollingEntries = maxPollingEntries.bind(),
            workBasedRouting = workBasedRouting.bind(),
            maxHeldBytes = maxHeldMegabytes?.let { it * MEGABYTE_BYTES }
        )
    }
}
