package org.shallotplank.core.entry

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.CustomerName
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Customer
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.retry.RetryBudgets
import org.shallotplank.core.routing.UpstreamView

/** Identity, location and limits of an entry instance, from its settings. */
public data class EntryIdentity(
    val instance: InstanceId,
    val zone: ZoneName,
    val region: String,
    val publicAddress: Address,
    val drainTimeout: Duration,
    /** Largest answer that the entry buffers until it is complete, in bytes. */
    val maxAnswerBytes: Int = 8 * 1024 * 1024
)

/** Observed state of one upstream and of its agent. */
public data class KnownUpstream(
    val service: ServiceName,
    val view: UpstreamView,
    val connected: Boolean = false,
    /** Whether the instance list marks the upstream as leaving. */
    val leaving: Boolean = false,
    val report: AgentReport? = null
)

/** The latest instance list, and what the entry derived from it. */
public data class InstanceListing(
    val instances: PersistentList<Instance> = persistentListOf(),
    val entries: PersistentList<Instance> = persistentListOf(),
    /** Upstreams that this entry connects to. */
    val candidates: PersistentList<Instance> = persistentListOf()
)

/** State of one entry instance. */
public data class EntryState(
    val self: EntryIdentity,
    /** Null until a configuration has come into force. */
    val configuration: Configuration? = null,
    /** Whether the configuration is known to be the latest that was accepted. */
    val hasCaughtUp: Boolean = false,
    val customersByToken: PersistentMap<String, Customer> = persistentMapOf(),
    val upstreams: PersistentMap<InstanceId, KnownUpstream> = persistentMapOf(),
    val listing: InstanceListing = InstanceListing(),
    val calls: PersistentMap<RequestId, Call> = persistentMapOf(),
    val callsByCustomer: PersistentMap<CustomerName, Int> = persistentMapOf(),
    val quarantine: Quarantine = Quarantine(),
    val retryBudgets: RetryBudgets = RetryBudgets(),
    val drainingSince: Instant? = null,
    /** Instances that announced that they are leaving, with the expiry of each announcement. */
    val leaving: PersistentMap<InstanceId, Instant> = persistentMapOf()
) {
    /** Whether callers may send requests to this instance. */
    public val isReady: Boolean
        get() = configuration != null && hasCaughtUp && drainingSince == null

    /**
     * Whether the entry may offer new requests to [upstream].
     *
     * The upstream's zone must be in service and its agent connected. Neither the instance list
     * may mark the upstream as leaving nor its agent report it as draining or gone.
     */
    internal fun mayTakeWork(upstream: KnownUpstream): Boolean {
        val isInService = configuration?.isInService(upstream.view.zone) == true
        val state = upstream.report?.state
        val isUsable = state != UpstreamState.DRAINING && state != UpstreamState.GONE
        return upstream.connected && !upstream.leaving && isInService && isUsable
    }

    /**
     * The entry instances that a caller in [zone] should use, in order of preference.
     *
     * Entries of the caller's zone precede all others. Both groups are rotated by [spread], so
     * that callers do not all use the same entry.
     */
    public fun advertisedEntries(zone: ZoneName?, spread: Int): PersistentList<Instance> {
        val usable = listing.entries.filter { entry ->
            entry.state == InstanceState.LIVE &&
                entry.publicAddress != null &&
                entry.id !in leaving &&
                !(entry.id == self.instance && drainingSince != null)
        }
        val (near, far) = usable.sortedBy { it.id.value }.partition { it.zone == zone }
        return (near.rotatedBy(spread) + far.rotatedBy(spread)).toPersistentList()
    }

    internal fun isDrained(now: Instant): Boolean {
        val since = drainingSince ?: return false
        return calls.isEmpty() || now - since >= self.drainTimeout
    }
}

private fun <T> List<T>.rotatedBy(places: Int): List<T> {
    if (isEmpty()) return this
    val start = places.mod(size)
    return drop(start) + take(start)
}
