package org.shallotplank.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/**
 * Marks a head that consists of parts of two answers as undecodable; add it after the HTTP codec.
 *
 * If a peer breaks off a late answer inside its head, the next head on the connection continues it,
 * and the codec decodes one head with the status of the first answer and headers of the second.
 * Each head begins with its protocol version, so that of the second one is inside a joined head
 * wherever the first one broke off.
 */
internal class JoinedHeadHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpResponse && message.isJoined()) {
            message.decoderResult = DecoderResult.failure(JOINED)
        }
        context.fireChannelRead(message)
    }

    private fun HttpResponse.isJoined(): Boolean = protocolVersion() !in VERSIONS ||
        VERSION in status().reasonPhrase() ||
        headers().any { (name, value) -> VERSION in name || STATUS_LINE in value }

    private companion object {
        val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
        val VERSION = Regex("""HTTP/1\.""", RegexOption.IGNORE_CASE)

        /** Values may name a version, as Via does. */
        val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""", RegexOption.IGNORE_CASE)
        val JOINED = IllegalArgumentException("heads of two answers joined")
    }
}
