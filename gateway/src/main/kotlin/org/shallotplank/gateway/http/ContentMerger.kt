package org.shallotplank.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Merges the parts of a body that were received in one read; add it after the HTTP codec.
 *
 * A peer that sends chunks of a few bytes would otherwise cost a pass through all later handlers,
 * and a write to the caller, for each of them.
 */
internal class ContentMerger : ChannelInboundHandlerAdapter() {
    private var merged: ByteBuf? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpContent || message is LastHttpContent || isUndecodable(message)) {
            flush(context)
            context.fireChannelRead(message)
            return
        }
        val content = message.content()
        val known = merged
        if (known == null) {
            merged = content
        } else if (known.refCnt() == 1 && known.isWritable(content.readableBytes())) {
            known.writeBytes(content)
            content.release()
        } else {
            val size = known.readableBytes() + content.readableBytes()
            merged = context.alloc().buffer(size * 2).writeBytes(known).writeBytes(content)
            known.release()
            content.release()
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        flush(context)
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        flush(context)
        context.fireChannelInactive()
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        merged?.release()
        merged = null
    }

    private fun isUndecodable(message: HttpContent) = message.decoderResult().isFailure

    private fun flush(context: ChannelHandlerContext) {
        val content = merged ?: return
        merged = null
        context.fireChannelRead(DefaultHttpContent(content))
    }
}
