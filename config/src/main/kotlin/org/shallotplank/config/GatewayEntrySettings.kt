package org.shallotplank.config

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/**
 * Settings of one gateway entry, which forwards requests by host and path straight to upstreams.
 *
 * Read at its start and again when the file changes; addresses keep until the next start.
 */
public data class GatewayEntrySettings(
    val instanceId: InstanceId,
    val zone: ZoneName,
    /** Where callers connect. */
    val listenAddress: Address,
    /** Where the platform asks whether the process is ready. */
    val readinessAddress: Address,
    /** Where callers ask which entries they may use. */
    val directoryAddress: Address,
    /** Where other gateway entries ask for reports and copies of tables. */
    val peerAddress: Address,
    /** The platform's store. */
    val storeAddress: Address,
    /** Port of the metrics at the address where callers connect. */
    val metricsPort: Int,
    /** Port of the relays beside the engines of rank groups, null where there are none. */
    val relayPort: Int?,
    /** Peer addresses of some entries, which may be out of date. */
    val seedAddresses: PersistentList<Address> = persistentListOf(),
    /** File descriptors that the process may use for connections. */
    val maxConnections: Int,
    /** Time between the request to stop and the end of the process. */
    val stopGrace: Duration,
    /** How long callers may keep a list of entries. */
    val entryListTtl: Duration,
    /** Retries per request that all entries together may add to a service. */
    val retryRatio: Double,
    /** Span over which retries are counted. */
    val retryWindow: Duration,
    /** Retries in any such span that are free, over all entries. */
    val retrySlack: Int,
    /** Whether the ranks of groups refuse orders with a fencing number below one that they saw. */
    val areFencesChecked: Boolean = true
)
