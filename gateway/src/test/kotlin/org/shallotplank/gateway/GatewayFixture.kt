package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.core.gateway.CredentialHolder
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.ListedUpstream
import org.shallotplank.core.gateway.RequestKind
import org.shallotplank.core.gateway.Route
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.RouteTarget
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.gateway.UpstreamService
import org.shallotplank.gateway.log.JsonLogWriter
import org.shallotplank.testsupport.LoopbackAddresses

internal val testHeaders = HeaderNames(
    attemptId = "X-Attempt",
    timeLeftMillis = "X-Time-Left",
    credential = "X-Credential",
    customer = "X-Customer",
    expectedUpstream = "X-Expect",
    requestPriority = "X-Priority",
    notRun = "X-Not-Run",
    engineLoad = "X-Load",
    leaving = "X-Leaving",
    pauseSeconds = "Retry-After",
    signature = "X-Stamp",
    lastEventId = "Last-Event-Id",
    promptParts = "X-Prompt",
    requestRate = "X-Rate",
    tokenCounts = "X-Tokens",
    lengthHint = "X-Length-Hint"
)

/** The exchanges of one gateway entry on loopback, in front of scripted upstreams. */
internal class GatewayFixture(
    upstreams: List<ScriptedUpstream>,
    maxAttempts: Int = 2,
    timeout: Duration = 5.seconds,
    limits: CallerLimits = CallerLimits()
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val address = LoopbackAddresses.reserve()
    private val clock = SteadyClock()
    private val service = ServiceName("s")
    private val exchanges = GatewayExchanges(
        settings = settings(address),
        headers = testHeaders,
        group = group,
        environment = GatewayEnvironment(
            clock = clock,
            random = Random(1),
            writer = JsonLogWriter("test", clock, Clock.System, OutputStream.nullOutputStream()),
            incarnation = 1,
            wallClock = Clock.System
        ),
        metrics = GatewayMetrics(),
        log = {}
    )

    init {
        exchanges.start()
        val table = RouteTable(
            version = ConfigurationVersion(1),
            routes = RequestKind.entries.map { route(it, maxAttempts, timeout) }.toPersistentList(),
            services = persistentMapOf(service to UpstreamService(service, maxConnections = 50)),
            customersByCredential = persistentMapOf(
                "secret" to CredentialHolder(CustomerName("alice"))
            ),
            requiresCredentials = true,
            limits = limits
        )
        val listed = upstreams.mapIndexed { index, upstream -> listed(index, upstream.address) }
        emit(GatewayEvent.RoutesAccepted(table))
        emit(GatewayEvent.UpstreamsListed(listed.toPersistentList()))
        emit(GatewayEvent.ReadinessChanged(isReady = true))
        loop.scheduleAtFixedRate({ exchanges.tick(clock.now()) }, 20, 20, TimeUnit.MILLISECONDS)
    }

    fun emit(event: GatewayEvent): Unit = loop.submit { exchanges.emit(event) }.sync().let { }

    /** The reducer's state after the events so far. */
    val state: GatewayState get() = loop.submit<GatewayState> { exchanges.state }.get()

    fun connect(): Socket = Socket(address.host, address.port).apply { soTimeout = 8_000 }

    /** Sends [request] on a new connection and returns all bytes received until it closes. */
    fun exchange(request: String): String = connect().use { socket ->
        socket.send(request)
        runCatching { String(socket.getInputStream().readAllBytes()) }.getOrElse { "RESET" }
    }

    private fun listed(index: Int, upstream: Address) = ListedUpstream(
        UpstreamRecord(
            id = InstanceId("u$index"),
            incarnation = 1,
            service = service,
            address = upstream,
            zone = ZoneName(if (index == 0) "near" else "far"),
            slots = 8,
            isLeaving = false
        )
    )

    private fun route(kind: RequestKind, maxAttempts: Int, timeout: Duration) = Route(
        name = kind.name,
        host = "h.example",
        pathPrefix = "/${kind.name.lowercase()}/",
        kind = kind,
        targets = persistentListOf(RouteTarget(service, 1)),
        timeout = timeout,
        goal = 500.milliseconds,
        maxAttempts = maxAttempts,
        isResumable = kind == RequestKind.STREAM
    )

    private fun settings(address: Address) = GatewayEntrySettings(
        instanceId = InstanceId("entry"),
        zone = ZoneName("near"),
        listenAddress = address,
        readinessAddress = address,
        directoryAddress = address,
        peerAddress = address,
        storeAddress = address,
        metricsPort = 1,
        relayPort = null,
        maxConnections = 1_000,
        stopGrace = 8.seconds,
        entryListTtl = 2.seconds,
        retryRatio = 0.2,
        retryWindow = 10.seconds,
        retrySlack = 100
    )

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}

/** A request with the headers of an ordinary caller; [close] makes the entry close after it. */
internal fun request(
    kind: String,
    extra: String = "",
    body: String = "",
    attempt: String = "a1",
    close: Boolean = true
): String = buildString {
    append("POST /$kind/x?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt: $attempt\r\n")
    append("X-Time-Left: 5000\r\nX-Credential: secret\r\n")
    if (close) append("Connection: close\r\n")
    append(extra)
    append("Content-Length: ${body.length}\r\n\r\n$body")
}

/** A complete answer to [request]. */
internal fun answer(
    request: ReadRequest,
    body: String = "ok",
    status: String = "200 OK",
    extra: String = ""
): String = "HTTP/1.1 $status\r\nX-Attempt: ${request.header("X-Attempt")}\r\nX-Stamp: s\r\n" +
    "${extra}Content-Length: ${body.length}\r\n\r\n$body"

/** The head of an event stream with chunked encoding. */
internal fun streamHead(request: ReadRequest, stamp: String = "s"): String =
    "HTTP/1.1 200 OK\r\nX-Attempt: ${request.header("X-Attempt")}\r\nX-Stamp: $stamp\r\n" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

internal fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

internal const val LAST_CHUNK = "0\r\n\r\n"
