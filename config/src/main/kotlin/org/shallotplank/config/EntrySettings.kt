package org.shallotplank.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/**
 * Settings of one entry instance, read once at its start.
 *
 * They contain the identity and addresses of the process; the published configuration determines
 * how it handles requests.
 */
public data class EntrySettings(
    val instanceId: InstanceId,
    val zone: ZoneName,
    val region: String,
    /** Address that callers connect to. */
    val listenAddress: Address,
    /** Address that other entry instances connect to. */
    val peerAddress: Address,
    /** Address that serves metrics, health and readiness. */
    val adminAddress: Address,
    /** Address of the platform's table service, object store and instance list. */
    val platformAddress: Address,
    /** File with the cluster key, with which entries and agents authenticate each other. */
    val clusterKeyFile: String,
    /** How long callers may cache the list of entry instances. */
    val entryListTtl: Duration = 5.seconds,
    val maxBodyBytes: Int = 1_048_576,
    /** Limit on the total size of the header lines of one request. */
    val maxHeaderBytes: Int = 16_384,
    val maxHeaderCount: Int = 64,
    /** Longest time without traffic before a caller's connection is closed. */
    val idleTimeout: Duration = 60.seconds,
    /** Longest wait for requests in flight at a planned stop. */
    val drainTimeout: Duration = 30.seconds,
    val logLevel: LogLevel = LogLevel.INFO
)
