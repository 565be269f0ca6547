package org.shallotplank.gateway

import io.netty.channel.EventLoopGroup
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.gateway.http.EndpointLimits
import org.shallotplank.gateway.http.EndpointRequest
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpEndpoint
import org.shallotplank.gateway.http.HttpReply
import org.shallotplank.gateway.peer.EXCHANGE_PATH
import org.shallotplank.gateway.peer.HOLD_PATH
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.where.WHERE_PATH
import org.shallotplank.gateway.where.WhereInterface

/** The interfaces of an entry except that for callers: readiness, directory, peers, metrics. */
internal class GatewayInterfaces(
    private val settings: GatewayEntrySettings,
    private val wire: DirectoryWire,
    private val group: EventLoopGroup,
    private val metrics: GatewayMetrics,
    private val clusterView: ClusterView,
    private val exchanges: GatewayExchanges,
    clock: Clock
) {
    private val where = WhereInterface(
        state = exchanges::state,
        observations = clusterView::observations,
        now = clock::now
    )

    /** Starts listening; throws [java.io.IOException] if an address cannot be bound. */
    fun start() {
        val small = limits(SMALL_SHARE, SMALL_REQUEST_BYTES, keepsIdle = false)
        val metricsAddress = settings.listenAddress.copy(port = settings.metricsPort)
        HttpEndpoint(group, settings.readinessAddress, small, ::readiness).start()
        HttpEndpoint(group, settings.directoryAddress, small, ::entries).start()
        HttpEndpoint(group, metricsAddress, small, ::operator).start()
        // Entries call each other several times a second, and a lost call delays what they report.
        val large = limits(PEER_SHARE, PEER_REQUEST_BYTES, keepsIdle = true)
        val peers = HttpEndpoint(group, settings.peerAddress, large) { request, reply ->
            peer(request, reply)
        }
        peers.start()
        metrics.gauge(GatewayMetric.STORE_AGE) {
            clusterView.storeAge.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge(GatewayMetric.PEER_REPORT_AGE) {
            clusterView.oldestReportAge.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge(GatewayMetric.HUB) { if (clusterView.isHub) 1 else 0 }
    }

    private fun limits(share: Double, maxRequestBytes: Int, keepsIdle: Boolean) = EndpointLimits(
        maxConnections = (settings.maxConnections * share).toInt().coerceAtLeast(MIN_CONNECTIONS),
        maxRequestBytes = maxRequestBytes,
        keepsIdle = keepsIdle,
        onShed = exchanges::countShed
    )

    private fun readiness(request: EndpointRequest): HttpReply = when {
        request.path != wire.readinessPath -> HttpReply(NOT_FOUND)
        exchanges.state.isReady && !exchanges.state.isStopping -> HttpReply(OK)
        else -> HttpReply(UNAVAILABLE)
    }

    private fun entries(request: EndpointRequest): HttpReply {
        if (request.path != wire.directoryPath) return HttpReply(NOT_FOUND)
        val addresses = clusterView.servingEntries().take(MAX_ADDRESSES)
        if (addresses.isEmpty()) return HttpReply(UNAVAILABLE)
        val ttl = settings.entryListTtl.coerceAtMost(MAX_LIST_TTL)
        return HttpReply(OK, wire.entryList(addresses, ttl.toDouble(DurationUnit.SECONDS)))
    }

    private fun peer(request: EndpointRequest, reply: (HttpReply) -> Unit) {
        if (request.path != HOLD_PATH) return reply(peer(request))
        clusterView.sendDelegatedHold(request.body) { outcome ->
            reply(outcome?.let { HttpReply(OK, it, HttpCall.CBOR) } ?: HttpReply(BAD_REQUEST))
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun peer(request: EndpointRequest): HttpReply = when (request.path) {
        EXCHANGE_PATH -> clusterView.answerExchange(request.body)
            ?.let { HttpReply(OK, it, HttpCall.CBOR) } ?: HttpReply(BAD_REQUEST)
        Peers.REPORT_PATH ->
            HttpReply(OK, Cbor.encodeToByteArray(clusterView.report()), HttpCall.CBOR)
        Peers.TABLE_PATH -> {
            val era = request.parameter("era")?.toLongOrNull()
            val copy = request.parameter("name")?.let { clusterView.tableCopy(it, era) }
            if (copy == null) {
                HttpReply(NOT_FOUND)
            } else {
                HttpReply(OK, Cbor.encodeToByteArray(copy), HttpCall.CBOR)
            }
        }
        else -> HttpReply(NOT_FOUND)
    }

    private fun operator(request: EndpointRequest): HttpReply =
        if (request.path == WHERE_PATH) where.answer(request) else scrape()

    private fun scrape(): HttpReply = HttpReply(OK, metrics.scrape().toByteArray(), HttpCall.TEXT)

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        /** Share of the connections for each of readiness, directory and metrics. */
        const val SMALL_SHARE = 0.05

        /** Share of the connections for other entries, each of which opens a few. */
        const val PEER_SHARE = 0.25
        const val MIN_CONNECTIONS = 16

        /** Requests to readiness, directory and metrics have no body. */
        const val SMALL_REQUEST_BYTES = 1_024

        /** An order that another entry delegates takes a few kilobytes. */
        const val PEER_REQUEST_BYTES = 65_536

        /** Callers use at most this many addresses of one answer. */
        const val MAX_ADDRESSES = 64

        /** Callers should learn within a few seconds that an entry left. */
        val MAX_LIST_TTL = 2.seconds
    }
}
