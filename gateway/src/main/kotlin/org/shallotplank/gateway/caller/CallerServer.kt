package org.shallotplank.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress
import kotlin.time.Clock
import kotlin.time.Instant
import org.shallotplank.core.Address
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.budget.connectionToReplace
import org.shallotplank.gateway.http.CountedHeadersFactory
import org.shallotplank.gateway.http.maxFieldsIn

/** Listens for callers and keeps track of their connections. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val address: Address,
    private val maxConnections: Int,
    private val listener: CallerListener,
    private val clock: Clock,
    private val budget: MemoryBudget
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listening: Channel? = null

    val connectionCount: Int get() = connections.size

    /** Starts listening; throws [java.io.IOException] if the address cannot be bound. */
    fun start() {
        listening = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            )
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES)
            )
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) = accept(created)
                }
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
    }

    private fun accept(created: SocketChannel) {
        if (connections.size >= maxConnections && !replaceOne()) {
            created.close()
            return
        }
        val fields = CountedHeadersFactory(maxFieldsIn(listener.limits.maxHeaderBytes))
        val connection = CallerConnection(created, listener, clock, budget, fields)
        connections += connection
        created.closeFuture().addListener { connections -= connection }
        created.pipeline()
            .addLast(ReadActivityHandler(connection))
            .addLast(StrictRequestDecoder(listener.limits.maxHeaderBytes, fields))
            .addLast(HttpResponseEncoder())
            .addLast(connection)
    }

    /** Closes a connection that another caller may need more; returns false if there is none. */
    private fun replaceOne(): Boolean {
        val now = clock.now()
        val replaced = connectionToReplace(connections) { it.activity(now) } ?: return false
        connections -= replaced
        replaced.replace()
        return true
    }

    /** Closes the connections of callers that exceed a timeout. */
    fun closeOverdue(now: Instant): Unit = connections.toList().forEach { it.closeIfOverdue(now) }

    /** Stops listening and closes the connections that have no request in flight. */
    fun closeIdle() {
        listening?.close()
        connections.toList().forEach { it.closeWhenIdle() }
    }

    private companion object {
        /** Many connections may wait to be accepted, such as after a restart of other entries. */
        const val BACKLOG = 1_024
        const val LOW_WATER_BYTES = 16_384

        /** Number of unsent bytes to a caller above which reading from the upstream pauses. */
        const val HIGH_WATER_BYTES = 65_536
        const val MIN_READ_BYTES = 512
        const val FIRST_READ_BYTES = 2_048

        /** All requests in one read are decoded at once, so this bounds their number. */
        const val MAX_READ_BYTES = 16_384
    }
}

/** Reports each read to the connection, also if it completes no request. */
internal class ReadActivityHandler(private val connection: CallerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytes((message as ByteBuf).readableBytes())
        context.fireChannelRead(message)
        connection.onDecoded()
    }
}

/** Rejects requests with ambiguous framing, which allow request smuggling. */
internal class StrictRequestDecoder(maxHeaderBytes: Int, fields: CountedHeadersFactory) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(fields)
            .setTrailersFactory(CountedHeadersFactory(maxFieldsIn(maxHeaderBytes)))
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks")

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
