package org.shallotplank.gateway.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.group.LeaseConfirmation

/** The last reports of the entries that count as alive, [views]. */
internal class PeerReports(private val views: List<PeerView>) {
    val all: List<PeerReport> get() = views.mapNotNull { it.report }

    /** Reports of the entries that serve callers. */
    val serving: List<PeerReport> get() = all.filter { it.isServing }

    /** Peer addresses of the entries that serve callers. */
    val servingAddresses: List<Address>
        get() = views.filter { it.report?.isServing == true }.map { it.address }

    /** Attempts in flight at each upstream, over all reports. */
    val inFlight: PersistentMap<UpstreamKey, Int>
        get() = all.flatMap { it.inFlight }
            .groupBy { UpstreamKey(InstanceId(it.id), it.incarnation) }
            .mapValues { (_, counts) -> counts.sumOf { it.count } }
            .toPersistentMap()

    val leaving: PersistentSet<UpstreamKey>
        get() = all.flatMap { it.leaving }
            .map { UpstreamKey(InstanceId(it.id), it.incarnation) }
            .toPersistentSet()

    /** Slowdowns of the ranks that the keepers of their groups report as slow. */
    val slowdowns: PersistentMap<InstanceId, Double>
        get() = all.flatMap { it.slowRanks }
            .associate { InstanceId(it.id) to it.slowdown }
            .toPersistentMap()

    /** What each of [instances] reports of the lease of [group], null without a live report. */
    fun confirmations(group: String, instances: List<String>): List<LeaseConfirmation?> {
        val viewByInstance = views.filter { it.report != null }.associateBy { it.report?.instance }
        return instances.map { instance ->
            val view = viewByInstance[instance] ?: return@map null
            LeaseConfirmation(
                lastContactAt = view.lastContactAt,
                term = view.report?.leases?.find { it.group == group }?.term,
                storeAge = view.report?.leasesAgeMillis?.milliseconds
            )
        }
    }

    /** Whether [candidate] reports that it will not keep [group] again. */
    fun hasLeft(candidate: KeeperCandidate, group: String): Boolean = all.any {
        KeeperCandidate(it.instance, it.incarnation) == candidate && group in it.groupsLeft
    }

    fun incarnationsOf(instance: String): List<Long> =
        all.filter { it.instance == instance }.map { it.incarnation }

    private val PeerReport.isServing: Boolean get() = isReady && !isStopping
}
