package org.shallotplank.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.Address
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.budget.connectionToReplace

/** A request to one of the system's own interfaces. */
public class EndpointRequest(
    public val method: String,
    public val path: String,
    private val parameters: Map<String, List<String>>,
    public val body: ByteArray = ByteArray(0)
) {
    /** The first value of the query parameter [name], or null. */
    public fun parameter(name: String): String? = parameters[name]?.firstOrNull()
}

/**
 * Limits on the clients of an [HttpEndpoint].
 *
 * @property maxConnections open connections; above it, one that makes no progress is replaced.
 * @property maxRequestBytes longest body of a request.
 * @property keepsIdle whether idle connections keep a few seconds before a new one replaces them;
 *   otherwise clients that poll on kept connections could keep others out.
 * @property onShed called when a connection is closed or refused because of a limit.
 */
public class EndpointLimits(
    public val maxConnections: Int = 256,
    public val maxRequestBytes: Int = 65_536,
    public val keepsIdle: Boolean = false,
    public val onShed: (ShedCause) -> Unit = {}
)

/**
 * Serves one of the system's own interfaces at [address].
 *
 * @param answer must not block; it passes its reply to the function that it is given, at once or
 *   later on the event loop.
 */
public class HttpEndpoint(
    private val group: EventLoopGroup,
    private val address: Address,
    private val limits: EndpointLimits,
    private val answer: (EndpointRequest, reply: (HttpReply) -> Unit) -> Unit
) {
    /** Serves an interface that answers each request at once. */
    public constructor(
        group: EventLoopGroup,
        address: Address,
        limits: EndpointLimits,
        answer: (EndpointRequest) -> HttpReply
    ) : this(group, address, limits, { request, reply -> reply(answer(request)) })

    /** Serves an interface with the default limits. */
    public constructor(
        group: EventLoopGroup,
        address: Address,
        answer: (EndpointRequest, reply: (HttpReply) -> Unit) -> Unit
    ) : this(group, address, EndpointLimits(), answer)

    /** Serves an interface with the default limits that answers each request at once. */
    public constructor(
        group: EventLoopGroup,
        address: Address,
        answer: (EndpointRequest) -> HttpReply
    ) : this(group, address, EndpointLimits(), answer)

    private val connections = ConcurrentHashMap.newKeySet<EndpointConnection>()
    private var listening: Channel? = null

    /** Starts listening; throws [java.io.IOException] if the address cannot be bound. */
    public fun start() {
        listening = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            )
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) = accept(created)
                }
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        val seconds = SWEEP_INTERVAL.inWholeSeconds
        group.next().scheduleAtFixedRate(::closeOverdue, seconds, seconds, TimeUnit.SECONDS)
    }

    /** Stops listening. */
    public fun close() {
        listening?.close()
    }

    private fun accept(created: SocketChannel) {
        if (connections.size >= limits.maxConnections && !replaceOne()) {
            limits.onShed(ShedCause.CONNECTIONS)
            created.close()
            return
        }
        val connection = EndpointConnection(created, answer, limits)
        connections += connection
        created.closeFuture().addListener { connections -= connection }
        val decoding = HttpDecoderConfig()
            .setHeadersFactory(CountedHeadersFactory(MAX_FIELDS))
            .setTrailersFactory(CountedHeadersFactory(MAX_FIELDS))
        created.pipeline()
            .addLast(ReadTimeoutHandler(IDLE_SECONDS))
            .addLast(EndpointActivityHandler(connection))
            .addLast(HttpServerCodec(decoding))
            .addLast(RefusingAggregator(limits.maxRequestBytes, connection))
            .addLast(connection)
    }

    private fun replaceOne(): Boolean {
        val replaced = connectionToReplace(connections) { it.activity() } ?: return false
        connections -= replaced
        replaced.close(ShedCause.CONNECTIONS)
        return true
    }

    private fun closeOverdue(): Unit = connections.forEach { it.closeIfOverdue() }

    private companion object {
        /** Clients of these interfaces send a few fields. */
        const val MAX_FIELDS = 512

        const val MIN_READ_BYTES = 512
        const val FIRST_READ_BYTES = 2_048

        /** All requests in one read are decoded at once, so this bounds their number. */
        const val MAX_READ_BYTES = 8_192

        /** Clients of these interfaces send a request at least every few seconds. */
        const val IDLE_SECONDS = 30
        val SWEEP_INTERVAL = 1.seconds
    }
}
