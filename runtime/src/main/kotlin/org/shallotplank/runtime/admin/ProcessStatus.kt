package org.shallotplank.runtime.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.config.Configuration

/** Status of a process, which its admin address serves at `/status`. */
@Serializable
public data class ProcessStatus(
    val instance: InstanceId,
    val role: InstanceRole,
    val zone: ZoneName,
    @SerialName("configuration_version") val configurationVersion: ConfigurationVersion,
    val ready: Boolean,
    val draining: Boolean,
    @SerialName("in_flight") val inFlight: Int,
    val zones: List<ZoneStatus> = emptyList(),
    val upstreams: List<UpstreamStatus> = emptyList()
)

/** Status of an availability zone in the configuration in force. */
@Serializable
public data class ZoneStatus(val zone: ZoneName, @SerialName("in_service") val inService: Boolean)

/** Status of an upstream according to the last report that the process received. */
@Serializable
public data class UpstreamStatus(
    val instance: InstanceId,
    val service: ServiceName,
    val zone: ZoneName,
    val state: UpstreamState,
    val connected: Boolean,
    val concurrency: Int,
    val running: Int,
    val queued: Int,
    @SerialName("configuration_version") val configurationVersion: ConfigurationVersion
) {
    public companion object {
        /** Converts [report]; an upstream that is not connected is shown as gone. */
        public fun of(report: AgentReport, connected: Boolean): UpstreamStatus = UpstreamStatus(
            instance = report.instance,
            service = report.service,
            zone = report.zone,
            state = if (connected) report.state else UpstreamState.GONE,
            connected = connected,
            concurrency = report.concurrency,
            running = report.running,
            queued = report.queued,
            configurationVersion = report.configurationVersion
        )
    }
}

/** Returns the status of each zone of [configuration]; none without a configuration. */
internal fun zoneStatuses(configuration: Configuration?): List<ZoneStatus> =
    configuration?.zones.orEmpty().map { ZoneStatus(it.name, it.inService) }
