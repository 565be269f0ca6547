package org.shallotplank.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

/** Settings of one agent, the process in an upstream's slot, read once at its start. */
public data class AgentSettings(
    val instanceId: InstanceId,
    /** The service that the upstream runs. */
    val service: ServiceName,
    val zone: ZoneName,
    val region: String,
    /** Address that entry instances connect to. */
    val listenAddress: Address,
    /** Address that serves metrics, health and readiness. */
    val adminAddress: Address,
    /** Address of the upstream beside the agent. */
    val upstreamAddress: Address,
    /** Address of the platform's table service, object store and instance list. */
    val platformAddress: Address,
    /** File with the cluster key, with which entries and agents authenticate each other. */
    val clusterKeyFile: String,
    /** Longest wait for requests in flight at a planned stop. */
    val drainTimeout: Duration = 30.seconds,
    val logLevel: LogLevel = LogLevel.INFO
)
