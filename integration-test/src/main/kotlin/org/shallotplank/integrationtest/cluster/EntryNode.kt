package org.shallotplank.integrationtest.cluster

import org.shallotplank.config.EntrySettings
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceRole
import org.shallotplank.integrationtest.harness.ManagedProcess
import org.shallotplank.integrationtest.harness.ProcessHarness
import org.shallotplank.integrationtest.proxy.FaultProxy

/** One entry instance of a [LoopbackCluster] with the proxies on its links. */
internal class EntryNode(
    val settings: EntrySettings,
    /** Proxy between the entry and the platform. */
    val platformLink: FaultProxy,
    /** Proxy between the other processes and the entry. */
    val peerLink: FaultProxy,
    private val harness: ProcessHarness
) : AutoCloseable {
    /** The process, once started. */
    lateinit var process: ManagedProcess
        private set

    /** Base URL for callers, which connect without a proxy. */
    val url: String = "http://${settings.listenAddress}"

    /** The item of the entry in the instance list. */
    val instance: Instance = Instance(
        id = settings.instanceId,
        role = InstanceRole.ENTRY,
        zone = settings.zone,
        region = settings.region,
        address = peerLink.address,
        publicAddress = settings.listenAddress
    )

    /** Starts the process, or restarts it after it ended. */
    fun start(): ManagedProcess {
        process = harness.startEntry(settings)
        return process
    }

    override fun close() {
        platformLink.close()
        peerLink.close()
    }
}
