package org.shallotplank.gateway.upstream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import org.shallotplank.core.Address
import org.shallotplank.core.gateway.ConnectFailure
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.gateway.http.ContentMerger
import org.shallotplank.gateway.http.EndOfInputHandler
import org.shallotplank.gateway.http.InvalidHeadHandler
import org.shallotplank.gateway.http.UnsolicitedBytesHandler
import org.shallotplank.gateway.http.answerCodec
import org.shallotplank.gateway.http.fairReads

/** The upstream incarnation and address that a connection is opened to. */
internal data class UpstreamTarget(val key: UpstreamKey, val address: Address)

/** Pool of connections to upstreams, reused while the upstreams keep them open. */
internal class UpstreamPool(private val group: EventLoopGroup, private val clock: Clock) {
    private val idle = HashMap<UpstreamTarget, ArrayDeque<UpstreamConnection>>()
    private val openByTarget = HashMap<UpstreamTarget, Int>()

    val openCount: Int get() = openByTarget.values.sum()

    /**
     * Calls [onResult] with an idle or new connection to [target], always a new one if [needsNew].
     *
     * At most [maxConnections] are open to one target. At that limit, the oldest idle connection is
     * closed for a new one; if none is idle, the result is [ConnectFailure.LOCAL_LIMIT].
     */
    fun acquire(
        target: UpstreamTarget,
        needsNew: Boolean,
        maxConnections: Int,
        onResult: (Either<ConnectFailure, UpstreamConnection>) -> Unit
    ) {
        val kept = idle[target]
        while (!needsNew && !kept.isNullOrEmpty()) {
            val connection = kept.removeLast()
            if (connection.isUsable(clock.now())) {
                onResult(connection.right())
                return
            }
            connection.close()
        }
        if ((openByTarget[target] ?: 0) >= maxConnections) {
            val oldest = kept?.removeFirstOrNull()
            if (oldest == null) {
                onResult(ConnectFailure.LOCAL_LIMIT.left())
                return
            }
            oldest.close()
        }
        connect(target, onResult)
    }

    /** Returns [connection] to the pool after its request, or closes it if it is not reusable. */
    fun release(target: UpstreamTarget, connection: UpstreamConnection) {
        if (!connection.isReusable()) {
            connection.close()
            return
        }
        connection.release(clock.now())
        idle.getOrPut(target) { ArrayDeque() }.addLast(connection)
    }

    /** Tests whether [target] refuses connections; a connect timeout is not a refusal. */
    fun check(target: UpstreamTarget, onResult: (isRefused: Boolean) -> Unit) {
        bootstrap { }.connect(InetSocketAddress(target.address.host, target.address.port))
            .addListener(
                ChannelFutureListener {
                    it.channel().close()
                    onResult(!it.isSuccess && it.cause() !is ConnectTimeoutException)
                }
            )
    }

    /** Closes idle connections that their upstreams are about to close. */
    fun closeExpired() {
        val now = clock.now()
        for (connections in idle.values) {
            val expired = connections.filter { !it.isUsable(now) }
            connections.removeAll(expired.toSet())
            expired.forEach { it.close() }
        }
        idle.values.removeAll { it.isEmpty() }
    }

    private fun connect(
        target: UpstreamTarget,
        onResult: (Either<ConnectFailure, UpstreamConnection>) -> Unit
    ) {
        openByTarget.merge(target, 1, Int::plus)
        var connection: UpstreamConnection? = null
        val future = bootstrap { channel ->
            val created = UpstreamConnection(channel)
            connection = created
            channel.pipeline()
                .addLast(UnsolicitedBytesHandler(created::isRequestOpen))
                .addLast(answerCodec())
                .addLast(EndOfInputHandler())
                .addLast(InvalidHeadHandler())
                .addLast(ContentMerger())
                .addLast(created)
        }.connect(InetSocketAddress(target.address.host, target.address.port))
        future.addListener(
            ChannelFutureListener {
                val made = connection
                if (it.isSuccess && made != null) {
                    made.onClosed = { forget(target, made) }
                    onResult(made.right())
                } else {
                    countClosed(target)
                    onResult(failureOf(it).left())
                }
            }
        )
    }

    private fun failureOf(future: ChannelFuture): ConnectFailure =
        if (future.cause() is ConnectTimeoutException) {
            ConnectFailure.TIMED_OUT
        } else {
            ConnectFailure.REFUSED
        }

    private fun forget(target: UpstreamTarget, connection: UpstreamConnection) {
        countClosed(target)
        idle[target]?.remove(connection)
    }

    private fun countClosed(target: UpstreamTarget) {
        openByTarget.computeIfPresent(target) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun bootstrap(initialize: (SocketChannel) -> Unit) = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, fairReads())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
        .handler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(created: SocketChannel) = initialize(created)
            }
        )

    private companion object {
        /** Below the 1 s after which TCP retransmits a lost SYN. */
        val CONNECT_TIMEOUT = 500.milliseconds
    }
}
