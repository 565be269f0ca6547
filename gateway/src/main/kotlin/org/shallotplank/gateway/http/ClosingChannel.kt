package org.shallotplank.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Closes the connection once everything is sent.
 *
 * If the other side may still be sending, its handlers have to discard what is received for
 * [LINGER] before: the reset of a connection that is closed with unread bytes can destroy the
 * answer.
 */
internal fun Channel.closeAfterFlush(isMoreExpected: Boolean) {
    val flushed = writeAndFlush(Unpooled.EMPTY_BUFFER)
    if (!isMoreExpected || this !is DuplexChannel) {
        flushed.addListener(ChannelFutureListener.CLOSE)
        return
    }
    flushed.addListener(
        ChannelFutureListener {
            if (it.isSuccess) shutdownOutput() else close()
            eventLoop().schedule({ close() }, LINGER.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    )
}

/** Time in which a caller that still sends can read its answer. */
private val LINGER = 1.seconds
