package org.shallotplank.config

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.work.WorkRouting

/**
 * Settings of one gateway entry, which forwards requests by host and path directly to upstreams.
 *
 * Read at its start and again when the file changes; new addresses apply from the next start.
 */
public data class GatewayEntrySettings(
    val instanceId: InstanceId,
    val zone: ZoneName,
    /** Address that callers connect to. */
    val listenAddress: Address,
    /** Address that the platform probes for readiness. */
    val readinessAddress: Address,
    /** Address at which callers request the list of entries. */
    val directoryAddress: Address,
    /** Address at which other gateway entries request reports and copies of tables. */
    val peerAddress: Address,
    /** Address of the platform's store. */
    val storeAddress: Address,
    /** Port of the metrics, on the IP address of [listenAddress]. */
    val metricsPort: Int,
    /** Port of the relays beside the engines of rank groups; null if there are no relays. */
    val relayPort: Int?,
    /** Peer addresses of some entries, used until the store supplies all; may be out of date. */
    val seedAddresses: PersistentList<Address> = persistentListOf(),
    /** File descriptors that the process may use for connections. */
    val maxConnections: Int,
    /** Time from the request to stop until the process is killed. */
    val stopGrace: Duration,
    /** How long callers may cache a list of entries. */
    val entryListTtl: Duration,
    /** Retries per request to a service that all entries together may make. */
    val retryRatio: Double,
    /** Length of the sliding window in which requests and retries are counted. */
    val retryWindow: Duration,
    /** Retries per window beyond [retryRatio] that all entries together may make. */
    val retrySlack: Int,
    /** Whether ranks refuse orders with a lower fencing number than one they have seen. */
    val areFencesChecked: Boolean = true,
    /** Registered entries up to which each entry polls all others; more use hubs. */
    val maxPollingEntries: Int = 24,
    /** Whether upstreams are chosen by expected work. */
    val workBasedRouting: WorkRouting = WorkRouting.AUTO,
    /** Bytes that may be held for callers; null derives them from the JVM's limits. */
    val maxHeldBytes: Long? = null
)
