package org.shallotplank.gateway.relay

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.timeout.ReadTimeoutHandler
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import org.shallotplank.core.Address
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord

/**
 * Forwards bytes between keepers' connections and the engine on the same machine.
 *
 * An engine answers requests from its own machine without pausing its group. The relay is stateless
 * and makes no decisions; a keeper that cannot reach it connects to the engine directly.
 */
public class RankRelay(
    private val address: Address,
    private val engine: Address,
    private val log: (LogRecord) -> Unit
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Starts to listen; throws [java.io.IOException] if the address cannot be bound. */
    public fun start() {
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(accepted: SocketChannel) = connect(accepted)
                }
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
        log(
            logRecord(
                LogEvent.PROCESS_STARTED,
                "instance" to "relay",
                "callers" to address,
                "engine" to engine
            )
        )
    }

    /** Closes all connections and stops listening. */
    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun connect(accepted: SocketChannel) {
        val opened = Bootstrap()
            .group(accepted.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) {
                        created.pipeline().addLast(ForwardingHandler(accepted))
                    }
                }
            )
            .connect(InetSocketAddress(engine.host, engine.port))
        accepted.pipeline()
            .addLast(ReadTimeoutHandler(IDLE_SECONDS))
            .addLast(ForwardingHandler(opened.channel()))
        opened.addListener(
            ChannelFutureListener {
                if (it.isSuccess) {
                    accepted.config().isAutoRead = true
                    it.channel().config().isAutoRead = true
                } else {
                    accepted.close()
                }
            }
        )
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 500

        /** Far above the time between requests of a keeper, which sends several per second. */
        const val IDLE_SECONDS = 30
    }
}

/**
 * Forwards the bytes of one connection to the [other] one, and closes both together.
 *
 * An answer without a length ends with its connection, so the [other] one is closed in an orderly
 * way only after an end of input, and reset otherwise.
 */
private class ForwardingHandler(private val other: Channel) : ChannelInboundHandlerAdapter() {
    private var isInputEnded = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) return
        isInputEnded = true
        other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        context.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (other.isActive) other.writeAndFlush(message) else ReferenceCountUtil.release(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (isInputEnded || !other.isOpen) return
        other.config().setOption(ChannelOption.SO_LINGER, 0)
        other.close()
    }

    @Deprecated("Netty deprecates it in the base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
