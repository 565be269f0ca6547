package org.shallotplank.integrationtest.harness

import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings

/** Returns the content of the settings file of an entry instance. */
internal fun EntrySettings.toToml(): String = toml(
    "instance_id" to instanceId.value,
    "zone" to zone.value,
    "region" to region,
    "listen_address" to "$listenAddress",
    "peer_address" to "$peerAddress",
    "admin_address" to "$adminAddress",
    "platform_address" to "$platformAddress",
    "cluster_key_file" to clusterKeyFile,
    "entry_list_ttl_seconds" to entryListTtl.inWholeSeconds,
    "max_body_bytes" to maxBodyBytes,
    "max_header_bytes" to maxHeaderBytes,
    "max_header_count" to maxHeaderCount,
    "idle_timeout_seconds" to idleTimeout.inWholeSeconds,
    "drain_timeout_seconds" to drainTimeout.inWholeSeconds,
    "log_level" to logLevel.name.lowercase()
)

/** Returns the content of the settings file of an agent. */
internal fun AgentSettings.toToml(): String = toml(
    "instance_id" to instanceId.value,
    "service" to service.value,
    "zone" to zone.value,
    "region" to region,
    "listen_address" to "$listenAddress",
    "admin_address" to "$adminAddress",
    "upstream_address" to "$upstreamAddress",
    "platform_address" to "$platformAddress",
    "cluster_key_file" to clusterKeyFile,
    "drain_timeout_seconds" to drainTimeout.inWholeSeconds,
    "log_level" to logLevel.name.lowercase()
)

private fun toml(vararg entries: Pair<String, Any>): String =
    entries.joinToString("") { (key, value) -> "$key = ${tomlValue(value)}\n" }

private fun tomlValue(value: Any): String = if (value is Number) "$value" else "\"$value\""
