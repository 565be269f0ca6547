package org.shallotplank.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.util.ReferenceCountUtil

/**
 * Lets an answer without a length end only where its peer has ended it.
 *
 * Such an answer ends with its connection. The HTTP codec, which must precede this handler, reports
 * it as complete whenever the channel closes, also after a reset, a failed write or a close from
 * this side. With half-closure, the codec handles an end of input that was read from the peer while
 * the channel is still active; what it reports later was not sent by the peer.
 */
internal class EndOfInputHandler : ChannelInboundHandlerAdapter() {
    override fun handlerAdded(context: ChannelHandlerContext) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (context.channel().isActive) {
            context.fireChannelRead(message)
        } else {
            ReferenceCountUtil.release(message)
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        context.fireUserEventTriggered(event)
        if (event is ChannelInputShutdownEvent) context.close()
    }
}
