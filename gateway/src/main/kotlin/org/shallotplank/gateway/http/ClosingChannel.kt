package org.shallotplank.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel

/** Closes the connection once everything is sent. */
internal fun Channel.closeAfterFlush() {
    writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
}

/**
 * Ends what is sent on the connection once everything is sent.
 *
 * The owner discards what is received and closes the connection later: the reset of a connection
 * that is closed with unread bytes can destroy the answer.
 */
internal fun Channel.shutdownOutputAfterFlush() {
    if (this !is DuplexChannel) return closeAfterFlush()
    writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(
        ChannelFutureListener { if (it.isSuccess) shutdownOutput() else close() }
    )
}
