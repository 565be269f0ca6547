package org.shallotplank.config

import arrow.core.raise.nullable
import org.shallotplank.core.Address

/**
 * Reads the settings of an entry instance from [source].
 *
 * All findings are reported together: unknown keys, wrong types and values, host names instead of
 * IP addresses, and addresses that are used twice.
 */
public fun readEntrySettings(source: SourceFile): Reading<EntrySettings> =
    readSettings(source, entrySettingsSpec, TableReader::entrySettings)

/** Reads the settings of an agent from [source], with the checks of [readEntrySettings]. */
public fun readAgentSettings(source: SourceFile): Reading<AgentSettings> =
    readSettings(source, agentSettingsSpec, TableReader::agentSettings)

internal fun <T : Any> readSettings(
    source: SourceFile,
    spec: FileSpec,
    read: TableReader.() -> T?
): Reading<T> {
    val findings = FindingCollector()
    val document = TomlDocument.parse(source, findings)
    document?.checkTopLevel(spec)
    val settings = document?.root(spec.tables.single())?.read()
    return findings.conclude { settings }
}

private fun TableReader.entrySettings(): EntrySettings? {
    val instanceId = read(ProcessKeys.instanceId)
    val zone = read(ProcessKeys.zone)
    val region = read(ProcessKeys.region)
    val addresses = readDistinct(
        EntryKeys.listenAddress,
        EntryKeys.peerAddress,
        ProcessKeys.adminAddress,
        ProcessKeys.platformAddress
    )
    val clusterKeyFile = read(ProcessKeys.clusterKeyFile)
    val entryListTtl = read(EntryKeys.entryListTtl)
    val maxBodyBytes = read(EntryKeys.maxBodyBytes)
    val maxHeaderBytes = read(EntryKeys.maxHeaderBytes)
    val maxHeaderCount = read(EntryKeys.maxHeaderCount)
    val idleTimeout = read(EntryKeys.idleTimeout)
    val drainTimeout = read(ProcessKeys.drainTimeout)
    val logLevel = read(ProcessKeys.logLevel)
    return nullable {
        EntrySettings(
            instanceId = instanceId.bind(),
            zone = zone.bind(),
            region = region.bind(),
            listenAddress = addresses[EntryKeys.listenAddress].bind(),
            peerAddress = addresses[EntryKeys.peerAddress].bind(),
            adminAddress = addresses[ProcessKeys.adminAddress].bind(),
            platformAddress = addresses[ProcessKeys.platformAddress].bind(),
            clusterKeyFile = clusterKeyFile.bind(),
            entryListTtl = entryListTtl.bind(),
            maxBodyBytes = maxBodyBytes.bind(),
            maxHeaderBytes = maxHeaderBytes.bind(),
            maxHeaderCount = maxHeaderCount.bind(),
            idleTimeout = idleTimeout.bind(),
            drainTimeout = drainTimeout.bind(),
            logLevel = logLevel.bind()
        )
    }
}

private fun TableReader.agentSettings(): AgentSettings? {
    val instanceId = read(ProcessKeys.instanceId)
    val service = read(AgentKeys.service)
    val zone = read(ProcessKeys.zone)
    val region = read(ProcessKeys.region)
    val addresses = readDistinct(
        AgentKeys.listenAddress,
        ProcessKeys.adminAddress,
        AgentKeys.upstreamAddress,
        ProcessKeys.platformAddress
    )
    val clusterKeyFile = read(ProcessKeys.clusterKeyFile)
    val drainTimeout = read(ProcessKeys.drainTimeout)
    val logLevel = read(ProcessKeys.logLevel)
    return nullable {
        AgentSettings(
            instanceId = instanceId.bind(),
            service = service.bind(),
            zone = zone.bind(),
            region = region.bind(),
            listenAddress = addresses[AgentKeys.listenAddress].bind(),
            adminAddress = addresses[ProcessKeys.adminAddress].bind(),
            upstreamAddress = addresses[AgentKeys.upstreamAddress].bind(),
            platformAddress = addresses[ProcessKeys.platformAddress].bind(),
            clusterKeyFile = clusterKeyFile.bind(),
            drainTimeout = drainTimeout.bind(),
            logLevel = logLevel.bind()
        )
    }
}

/** Reads [keys] and reports each one that has the address of an earlier key. */
internal fun TableReader.readDistinct(
    vararg keys: KeySpec<Address>
): Map<KeySpec<Address>, Address?> {
    val addresses = keys.associateWith { read(it) }
    val firstKeys = mutableMapOf<Address, KeySpec<Address>>()
    for ((key, address) in addresses) {
        if (address == null) continue
        val first = firstKeys.putIfAbsent(address, key) ?: continue
        report(key, "an address that no other key has", "the address of ${first.name}")
    }
    return addresses
}
