package org.shallotplank.integrationtest.cluster

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState
import org.shallotplank.integrationtest.PlatformStandIn
import org.shallotplank.integrationtest.harness.ManagedProcess
import org.shallotplank.integrationtest.harness.ProcessHarness
import org.shallotplank.integrationtest.proxy.FaultProxy
import org.shallotplank.testsupport.LoopbackAddresses

/**
 * The complete system on loopback: stand-ins in the test's process, entries and agents as child
 * processes, and a [FaultProxy] on each link except those of callers.
 *
 * The platform lists all instances from the start, even before their processes are started.
 */
internal class LoopbackCluster(testName: String, layout: ClusterLayout = ClusterLayout()) :
    AutoCloseable {
    val harness: ProcessHarness = ProcessHarness(testName)
    val platform: PlatformStandIn = PlatformStandIn()
    val entries: PersistentList<EntryNode> =
        List(layout.entries) { entry(layout, it) }.toPersistentList()
    val upstreams: PersistentList<UpstreamNode> = layout.services
        .flatMap { service -> List(service.upstreams) { upstream(layout, service, it) } }
        .toPersistentList()

    init {
        instances().forEach { platform.register(it) }
    }

    /** Starts all entries and agents and waits until each is ready. */
    suspend fun startAll() {
        startAgents()
        startEntries()
    }

    /** Starts all agents and waits until each is ready. */
    suspend fun startAgents(): Unit = upstreams.map { it.start() }.awaitReady()

    /** Starts all entries and waits until each is ready. */
    suspend fun startEntries(): Unit = entries.map { it.start() }.awaitReady()

    /** Marks [instance] as leaving in the platform's list. */
    fun announceLeaving(instance: Instance): Unit =
        platform.register(instance.copy(state = InstanceState.LEAVING))

    /** Ends the processes first, so that they do not log the loss of the stand-ins. */
    override fun close() {
        harness.close()
        (entries + upstreams).forEach { it.close() }
        platform.close()
    }

    private fun instances(): List<Instance> =
        entries.map { it.instance } + upstreams.map { it.instance }

    private suspend fun List<ManagedProcess>.awaitReady(): Unit = forEach { it.awaitReady() }

    private fun entry(layout: ClusterLayout, index: Int): EntryNode {
        val platformLink = FaultProxy(platform.address)
        val settings = EntrySettings(
            instanceId = InstanceId("entry-${index + 1}"),
            zone = layout.zone(index),
            region = layout.region,
            listenAddress = LoopbackAddresses.reserve(),
            peerAddress = LoopbackAddresses.reserve(),
            adminAddress = LoopbackAddresses.reserve(),
            platformAddress = platformLink.address,
            clusterKeyFile = "${harness.clusterKeyFile}"
        )
        return EntryNode(settings, platformLink, FaultProxy(settings.peerAddress), harness)
    }

    private fun upstream(layout: ClusterLayout, service: ServiceLayout, index: Int): UpstreamNode {
        val server = startUpstream(service.kind)
        val platformLink = FaultProxy(platform.address)
        val upstreamLink = FaultProxy(server.address)
        val settings = AgentSettings(
            instanceId = InstanceId("${service.name}-${index + 1}"),
            service = service.name,
            zone = layout.zone(index),
            region = layout.region,
            listenAddress = LoopbackAddresses.reserve(),
            adminAddress = LoopbackAddresses.reserve(),
            upstreamAddress = upstreamLink.address,
            platformAddress = platformLink.address,
            clusterKeyFile = "${harness.clusterKeyFile}"
        )
        val agentLink = FaultProxy(settings.listenAddress)
        return UpstreamNode(settings, server, platformLink, agentLink, upstreamLink, harness)
    }
}
