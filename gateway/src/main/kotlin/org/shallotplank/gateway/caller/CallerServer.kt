package org.shallotplank.gateway.caller

import io.netty.bootstrap.ServerBootstrap
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

/** Listens for callers and keeps track of their connections. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val address: Address,
    private val maxConnections: Int,
    private val listener: CallerListener,
    private val clock: Clock
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
        if (connections.size >= maxConnections) {
            created.close()
            return
        }
        val connection = CallerConnection(created, listener, clock)
        connections += connection
        created.closeFuture().addListener { connections -= connection }
        created.pipeline()
            .addLast(ReadActivityHandler(connection))
            .addLast(StrictRequestDecoder(listener.limits.maxHeaderBytes))
            .addLast(HttpResponseEncoder())
            .addLast(connection)
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
    }
}

/** Reports each read to the connection, also if it completes no request. */
private class ReadActivityHandler(private val connection: CallerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytes()
        context.fireChannelRead(message)
    }
}

/** Rejects requests with ambiguous framing, which allow request smuggling. */
private class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks")

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
