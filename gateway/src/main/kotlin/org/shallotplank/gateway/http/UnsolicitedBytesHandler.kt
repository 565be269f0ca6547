package org.shallotplank.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection that receives anything while no request is open.
 *
 * What a peer sends without a request would be taken for the answer to the next one.
 */
internal class UnsolicitedBytesHandler(private val isRequestOpen: () -> Boolean) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isRequestOpen()) {
            context.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        context.close()
    }
}
