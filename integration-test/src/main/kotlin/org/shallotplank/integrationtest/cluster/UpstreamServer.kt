package org.shallotplank.integrationtest.cluster

import org.shallotplank.core.Address
import org.shallotplank.integrationtest.EngineStandIn
import org.shallotplank.integrationtest.PlainServiceStandIn

/** An upstream stand-in of any [UpstreamKind] that runs in the test's process. */
internal class UpstreamServer(val address: Address, private val server: AutoCloseable) :
    AutoCloseable {
    /** Base URL of the stand-in, without a proxy. */
    val url: String = "http://$address"

    override fun close(): Unit = server.close()
}

/** Starts the stand-in that [kind] describes. */
internal fun startUpstream(kind: UpstreamKind): UpstreamServer = when (kind) {
    is UpstreamKind.Engine ->
        EngineStandIn(settings = kind.settings).let { UpstreamServer(it.address, it) }
    is UpstreamKind.Plain ->
        PlainServiceStandIn(settings = kind.settings).let { UpstreamServer(it.address, it) }
}
