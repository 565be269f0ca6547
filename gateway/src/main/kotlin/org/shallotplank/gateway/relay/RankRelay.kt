package org.shallotplank.gateway.relay

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.TimeSource
import org.shallotplank.core.Address
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.budget.ShedLog
import org.shallotplank.gateway.budget.connectionToReplace

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
    private val timeSource = TimeSource.Monotonic
    private val connections = LinkedHashSet<RelayedConnection>()
    private val shedLog = ShedLog(count = {}, log = log, heldBytes = { 0 })

    /** Starts to listen; throws [java.io.IOException] if the address cannot be bound. */
    public fun start() {
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, reads())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) = accept(created)
                }
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
        group.scheduleAtFixedRate(::closeStalled, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS)
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

    private fun accept(accepted: SocketChannel) {
        if (connections.size >= MAX_CONNECTIONS && !replaceOne()) {
            accepted.close()
            countShed(ShedCause.CONNECTIONS)
            return
        }
        val connection = RelayedConnection(accepted, timeSource.markNow())
        connections += connection
        accepted.closeFuture().addListener { connections -= connection }
        connect(accepted, connection)
    }

    private fun connect(accepted: SocketChannel, connection: RelayedConnection) {
        val opened = Bootstrap()
            .group(accepted.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.RECVBUF_ALLOCATOR, reads())
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(created: SocketChannel) {
                        created.pipeline().addLast(ForwardingHandler(accepted, connection))
                    }
                }
            )
            .connect(InetSocketAddress(engine.host, engine.port))
        connection.engineSide = opened.channel()
        accepted.pipeline()
            .addLast(ReadTimeoutHandler(IDLE_SECONDS))
            .addLast(ForwardingHandler(opened.channel(), connection))
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

    /** Closes the connection that has forwarded nothing for longest, if that is long enough. */
    private fun replaceOne(): Boolean {
        val replaced = connectionToReplace(connections) { it.activity() } ?: return false
        connections -= replaced
        replaced.abort()
        countShed(ShedCause.CONNECTIONS)
        return true
    }

    private fun closeStalled() {
        connections.filter { it.isStalled() }.forEach {
            it.abort()
            countShed(ShedCause.SLOW_READER)
        }
        shedLog.write(Clock.System.now())
    }

    private fun countShed(cause: ShedCause): Unit = shedLog.add(cause)

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 500

        /** Far above the time between requests of a keeper, which sends several per second. */
        const val IDLE_SECONDS = 30

        /** Far above the keepers of one engine's group, which have two connections each. */
        const val MAX_CONNECTIONS = 128
        const val BACKLOG = 128
        const val SWEEP_SECONDS = 1L

        /** All connections with full buffers take about 5 MB of 16 MB of direct memory. */
        val waterMark = WriteBufferWaterMark(4_096, 8_192)

        fun reads() = AdaptiveRecvByteBufAllocator(512, 2_048, 8_192)
    }
}
