package org.shallotplank.integrationtest.cluster

import org.shallotplank.config.AgentSettings
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceRole
import org.shallotplank.integrationtest.harness.ManagedProcess
import org.shallotplank.integrationtest.harness.ProcessHarness
import org.shallotplank.integrationtest.proxy.FaultProxy

/** One upstream of a [LoopbackCluster] with its agent and the proxies on their links. */
internal class UpstreamNode(
    val settings: AgentSettings,
    val server: UpstreamServer,
    /** Proxy between the agent and the platform. */
    val platformLink: FaultProxy,
    /** Proxy between the entries and the agent. */
    val agentLink: FaultProxy,
    /** Proxy between the agent and the upstream. */
    val upstreamLink: FaultProxy,
    private val harness: ProcessHarness
) : AutoCloseable {
    /** The agent's process, once started. */
    lateinit var process: ManagedProcess
        private set

    /** The item of the upstream in the instance list. */
    val instance: Instance = Instance(
        id = settings.instanceId,
        role = InstanceRole.UPSTREAM,
        zone = settings.zone,
        region = settings.region,
        address = agentLink.address,
        service = settings.service
    )

    /** Starts the agent's process, or restarts it after it ended. */
    fun start(): ManagedProcess {
        process = harness.startAgent(settings)
        return process
    }

    override fun close() {
        platformLink.close()
        agentLink.close()
        upstreamLink.close()
        server.close()
    }
}
