package org.shallotplank.config

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

private const val HOUR_SECONDS = 3_600
private const val KIBIBYTE = 1_024
private const val MAX_BODY_KIBIBYTES = 1_536
private const val MAX_HEADER_KIBIBYTES = 64

/** Supplies the key tables with the defaults of the settings constructors. */
private object SettingsDefaults {
    private val placeholder = Address(host = "127.0.0.1", port = 1)

    val entry = EntrySettings(
        instanceId = InstanceId(""),
        zone = ZoneName(""),
        region = "",
        listenAddress = placeholder,
        peerAddress = placeholder,
        adminAddress = placeholder,
        platformAddress = placeholder,
        clusterKeyFile = ""
    )

    val agent = AgentSettings(
        instanceId = InstanceId(""),
        service = ServiceName(""),
        zone = ZoneName(""),
        region = "",
        listenAddress = placeholder,
        adminAddress = placeholder,
        upstreamAddress = placeholder,
        platformAddress = placeholder,
        clusterKeyFile = ""
    )
}

/** Keys that entries and agents share. */
internal object ProcessKeys {
    val instanceId = KeySpec(
        name = "instance_id",
        rule = name(::InstanceId),
        doc = "Identity of the instance, as the platform's instance list has it. A restart keeps " +
            "it."
    )
    val zone = KeySpec(
        name = "zone",
        rule = name(::ZoneName),
        doc = "Availability zone that the instance stands in, as the zones file names it."
    )
    val region = KeySpec(
        name = "region",
        rule = name { it },
        doc = "Region of the zone, as the zones file names it."
    )
    val adminAddress = KeySpec(
        name = "admin_address",
        rule = listenAddress(),
        doc = "Where the process serves metrics, health and readiness. Keep it off the network " +
            "that callers use."
    )
    val platformAddress = KeySpec(
        name = "platform_address",
        rule = remoteAddress(),
        doc = "The platform's table service, object store and instance list."
    )
    val clusterKeyFile = KeySpec(
        name = "cluster_key_file",
        rule = secretFilePath(),
        doc = "File with the key that entries and agents prove to each other that they hold. The " +
            "key itself never stands in the settings."
    )
    val drainTimeout = KeySpec(
        name = "drain_timeout_seconds",
        rule = seconds(1..HOUR_SECONDS),
        default = SettingsDefaults.agent.drainTimeout,
        doc = "Longest wait for requests in flight at a planned stop. Give it at least the " +
            "longest `deadline_seconds` of the services."
    )
    val logLevel = KeySpec(
        name = "log_level",
        rule = choice<LogLevel>(),
        default = SettingsDefaults.agent.logLevel,
        doc = "Least severity of the log lines that are written."
    )
}

/** Keys of the settings of an entry instance. */
internal object EntryKeys {
    val listenAddress = KeySpec(
        name = "listen_address",
        rule = listenAddress(),
        doc = "Where callers connect."
    )
    val peerAddress = KeySpec(
        name = "peer_address",
        rule = listenAddress(),
        doc = "Where other entry instances connect."
    )
    val entryListTtl = KeySpec(
        name = "entry_list_ttl_seconds",
        rule = seconds(1..HOUR_SECONDS),
        default = SettingsDefaults.entry.entryListTtl,
        doc = "How long callers may keep the list of entry instances that they were given."
    )
    val maxBodyBytes = KeySpec(
        name = "max_body_bytes",
        rule = wholeNumber(KIBIBYTE..MAX_BODY_KIBIBYTES * KIBIBYTE, unit = "bytes"),
        default = SettingsDefaults.entry.maxBodyBytes,
        doc = "Largest body of a request; a larger one gets status 413. A body travels in one " +
            "frame from entry to agent, which sets the upper end of the range."
    )
    val maxHeaderBytes = KeySpec(
        name = "max_header_bytes",
        rule = wholeNumber(KIBIBYTE..MAX_HEADER_KIBIBYTES * KIBIBYTE, unit = "bytes"),
        default = SettingsDefaults.entry.maxHeaderBytes,
        doc = "Bound on all header lines of one request together; more get status 431."
    )
    val maxHeaderCount = KeySpec(
        name = "max_header_count",
        rule = wholeNumber(8..1_024, unit = "headers"),
        default = SettingsDefaults.entry.maxHeaderCount,
        doc = "Most header lines of one request; more get status 431."
    )
    val idleTimeout = KeySpec(
        name = "idle_timeout_seconds",
        rule = seconds(1..HOUR_SECONDS),
        default = SettingsDefaults.entry.idleTimeout,
        doc = "Longest silence on a caller's connection before it is closed."
    )
    val table = TableSpec(
        name = "",
        shape = TableShape.ROOT,
        doc = "Settings of one entry instance.",
        keys = persistentListOf(
            ProcessKeys.instanceId,
            ProcessKeys.zone,
            ProcessKeys.region,
            listenAddress,
            peerAddress,
            ProcessKeys.adminAddress,
            ProcessKeys.platformAddress,
            ProcessKeys.clusterKeyFile,
            entryListTtl,
            maxBodyBytes,
            maxHeaderBytes,
            maxHeaderCount,
            idleTimeout,
            ProcessKeys.drainTimeout,
            ProcessKeys.logLevel
        )
    )
}

/** Keys of the settings of an agent. */
internal object AgentKeys {
    val service = KeySpec(
        name = "service",
        rule = name(::ServiceName),
        doc = "Service that the upstream runs, as its service file names it."
    )
    val listenAddress = KeySpec(
        name = "listen_address",
        rule = listenAddress(),
        doc = "Where entry instances connect."
    )
    val upstreamAddress = KeySpec(
        name = "upstream_address",
        rule = remoteAddress(),
        doc = "The upstream beside the agent."
    )
    val table = TableSpec(
        name = "",
        shape = TableShape.ROOT,
        doc = "Settings of one agent.",
        keys = persistentListOf(
            ProcessKeys.instanceId,
            service,
            ProcessKeys.zone,
            ProcessKeys.region,
            listenAddress,
            ProcessKeys.adminAddress,
            upstreamAddress,
            ProcessKeys.platformAddress,
            ProcessKeys.clusterKeyFile,
            ProcessKeys.drainTimeout,
            ProcessKeys.logLevel
        )
    )
}

/** Settings of an entry instance. */
internal val entrySettingsSpec = FileSpec("entry settings", persistentListOf(EntryKeys.table))

/** Settings of an agent. */
internal val agentSettingsSpec = FileSpec("agent settings", persistentListOf(AgentKeys.table))
