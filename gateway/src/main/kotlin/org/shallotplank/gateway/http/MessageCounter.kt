package org.shallotplank.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.util.ReferenceCountUtil
import org.shallotplank.gateway.budget.MessageMemory

/**
 * Counts the bodies that a connection receives in [memory], and closes the connection when one
 * finds no room there; add it before the aggregator.
 */
internal class MessageCounter(private val memory: MessageMemory) : ChannelInboundHandlerAdapter() {
    private var heldBytes = 0L
    private var isRefused = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isRefused || (message is HttpContent && !hold(message))) {
            ReferenceCountUtil.release(message)
            if (!isRefused) context.close()
            isRefused = true
            return
        }
        context.fireChannelRead(message)
    }

    private fun hold(content: HttpContent): Boolean {
        val bytes = content.content().readableBytes() * COPIES
        return memory.hold(bytes).also { if (it) heldBytes += bytes }
    }

    /** Returns what is counted, which the receiver of the message frees with [free]. */
    fun take(): Long = heldBytes.also { heldBytes = 0 }

    /** Frees [bytes] that were taken. */
    fun free(bytes: Long): Unit = memory.free(bytes)

    override fun channelInactive(context: ChannelHandlerContext) {
        memory.free(take())
        context.fireChannelInactive()
    }

    private companion object {
        /** The received buffers, and the array that is decoded. */
        const val COPIES = 2L
    }
}
