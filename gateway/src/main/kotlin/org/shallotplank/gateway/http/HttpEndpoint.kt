package org.shallotplank.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress
import org.shallotplank.core.Address

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
 * Serves one of the system's own interfaces at [address].
 *
 * @param answer must not block; it passes its reply to the function that it is given, at once or
 *   later on the event loop.
 */
public class HttpEndpoint(
    private val group: EventLoopGroup,
    private val address: Address,
    private val answer: (EndpointRequest, reply: (HttpReply) -> Unit) -> Unit
) {
    /** Serves an interface that answers each request at once. */
    public constructor(
        group: EventLoopGroup,
        address: Address,
        answer: (EndpointRequest) -> HttpReply
    ) : this(group, address, { request, reply -> reply(answer(request)) })

    private var listening: Channel? = null

    /** Starts listening; throws [java.io.IOException] if the address cannot be bound. */
    public fun start() {
        listening = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) {
                        created.pipeline()
                            .addLast(ReadTimeoutHandler(IDLE_SECONDS))
                            .addLast(HttpServerCodec())
                            .addLast(HttpObjectAggregator(MAX_REQUEST_BYTES))
                            .addLast(RequestHandler())
                    }
                }
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
    }

    /** Stops listening. */
    public fun close() {
        listening?.close()
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            if (message.decoderResult().isFailure) {
                send(context, HttpReply(status = 400), isKept = false)
                return
            }
            val isKept = HttpUtil.isKeepAlive(message)
            val target = QueryStringDecoder(message.uri())
            val request = EndpointRequest(
                message.method().name(),
                target.path(),
                target.parameters(),
                ByteBufUtil.getBytes(message.content())
            )
            answer(request) { send(context, it, isKept) }
        }

        private fun send(context: ChannelHandlerContext, reply: HttpReply, isKept: Boolean) {
            val response = reply.message()
            if (!isKept) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
            val written = context.writeAndFlush(response)
            if (!isKept) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty deprecates it in the base class")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAX_REQUEST_BYTES = 65_536

        /** Clients of these interfaces send a request at least every few seconds. */
        const val IDLE_SECONDS = 30
    }
}
