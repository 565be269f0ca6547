package org.shallotplank.gateway.relay

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.shallotplank.gateway.budget.ConnectionActivity

/** A keeper's connection and the one to the engine that belongs to it. */
internal class RelayedConnection(private val keeperSide: Channel, openedAt: TimeMark) {
    private var movedAt = openedAt
    private var answeredAt = openedAt

    /** The connection to the engine, null before it is opened. */
    var engineSide: Channel? = null

    /** Records that a side sent bytes or took some. */
    fun onMoved() {
        movedAt = TimeSource.Monotonic.markNow()
    }

    /** Records that the keeper took bytes of the engine. */
    fun onAnswered() {
        answeredAt = TimeSource.Monotonic.markNow()
    }

    /** What the connection has done; what only the keeper sends is no activity. */
    fun activity(): ConnectionActivity = ConnectionActivity(silence = answeredAt.elapsedNow())

    /** Whether bytes wait for a side that takes none. */
    fun isStalled(): Boolean {
        val isWaiting = !keeperSide.isWritable || engineSide?.isWritable == false
        return isWaiting && movedAt.elapsedNow() > STALL_TIME
    }

    /** Resets both connections, so that no side takes what it got as whole. */
    fun abort() {
        keeperSide.config().setOption(ChannelOption.SO_LINGER, 0)
        keeperSide.close()
        engineSide?.close()
    }

    private companion object {
        /** Far above the time of an answer to a keeper, which waits for less than a second. */
        val STALL_TIME: Duration = 5.seconds
    }
}

/**
 * Forwards the bytes of one connection to the [other] one, and closes both together.
 *
 * It does not read while the [other] one has bytes to send. An answer without a length ends with
 * its connection, so the [other] one is closed in an orderly way only after an end of input, and
 * reset otherwise.
 */
internal class ForwardingHandler(
    private val other: Channel,
    private val connection: RelayedConnection
) : ChannelInboundHandlerAdapter() {
    private var isInputEnded = false
    private val onWritten = ChannelFutureListener {
        if (it.isSuccess) {
            connection.onMoved()
            if (other !== connection.engineSide) connection.onAnswered()
        }
    }

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
        if (!other.isActive) {
            ReferenceCountUtil.release(message)
            return
        }
        other.writeAndFlush(message).addListener(onWritten)
        if (!other.isWritable) context.channel().config().isAutoRead = false
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable && other.isActive) other.config().isAutoRead = true
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
