package org.shallotplank.core.agent

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.config.SerializableList

/** State of an upstream that its agent reports to entries and operators. */
@Serializable
public enum class UpstreamState {
    COLD,
    WARMING,
    READY,
    DRAINING,
    GONE
}

/** Report of an agent on its upstream, sent with each heartbeat and with each answer. */
@Serializable
public data class AgentReport(
    val instance: InstanceId,
    val service: ServiceName,
    val zone: ZoneName,
    val state: UpstreamState,
    /** Limit on the requests that run at the upstream at the same time. */
    val concurrency: Int,
    val running: Int,
    val queued: Int,
    /** Time between tokens, in microseconds; 0 when unknown. */
    val stepMicros: Long = 0,
    /** Fingerprints of the prompt prefixes in the upstream's cache, most recent first. */
    val cachedPrefixes: SerializableList<String> = persistentListOf(),
    val configurationVersion: ConfigurationVersion = ConfigurationVersion.None
)
