package org.shallotplank.gateway.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/**
 * Marks heads that are not the head of one answer as undecodable; add it after the HTTP codec.
 *
 * The codec accepts any status of three digits, of which those outside 100 to 599 have no meaning.
 *
 * If a peer breaks off a late answer inside its head, the next head on the connection continues it,
 * and the codec decodes one head with the status of the first answer and headers of the second.
 * Each head begins with its protocol version, so that of the second one is inside a joined head
 * wherever the first one broke off.
 */
internal class InvalidHeadHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpResponse) {
            val failure = when {
                message.isJoined() -> IllegalArgumentException("heads of two answers joined")
                message.status().code() !in STATUSES ->
                    IllegalArgumentException("status ${message.status().code()}")
                else -> null
            }
            failure?.let { message.decoderResult = DecoderResult.failure(it) }
        }
        context.fireChannelRead(message)
    }

    private fun HttpResponse.isJoined(): Boolean = protocolVersion() !in VERSIONS ||
        VERSION in status().reasonPhrase() ||
        headers().any { (name, value) -> VERSION in name || STATUS_LINE in value }

    private companion object {
        val STATUSES = 100..599
        val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
        val VERSION = Regex("""HTTP/1\.""", RegexOption.IGNORE_CASE)

        /** Values may name a version, as Via does. */
        val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""", RegexOption.IGNORE_CASE)
    }
}
