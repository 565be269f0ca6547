package org.shallotplank.gateway.caller

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlin.math.max
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant
import org.shallotplank.gateway.budget.HeldFor
import org.shallotplank.gateway.budget.MemoryShare
import org.shallotplank.gateway.http.closeAfterFlush
import org.shallotplank.gateway.http.shutdownOutputAfterFlush

/** Writes answers to a caller and counts in [share] what the caller has not read of them. */
internal class AnswerWriter(
    private val channel: Channel,
    private val share: MemoryShare,
    private val clock: Clock
) {
    private var unread = Unread(0, 0)
    private var lastReadAt: Instant = clock.now()
    private val onWritten = ChannelFutureListener { update(clock.now()) }

    /** Bytes that wait to be sent, and how many of the first part are sent. */
    private data class Unread(val bytes: Long, val sentOfFirst: Long)

    /** Whether anything sent waits for the caller to read. */
    val isUnread: Boolean get() = unread.bytes > 0

    /** When the caller last read something that waited for it. */
    val progressAt: Instant get() = lastReadAt

    /** Sends [part] of an answer. */
    fun write(part: HttpObject) {
        if (unread.bytes == 0L) {
            lastReadAt = clock.now()
            share.onProgress(lastReadAt)
        }
        channel.writeAndFlush(part).addListener(onWritten)
        update(clock.now())
    }

    /** Whether the caller has read nothing for [timeout] although something waits to be sent. */
    fun isUnreadFor(now: Instant, timeout: Duration): Boolean {
        update(now)
        return unread.bytes > 0 && now - lastReadAt > timeout
    }

    /** Answers [status] to a request that is not run, and ends the output of the connection. */
    fun refuse(status: HttpResponseStatus) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers()
            .set(HttpHeaderNames.CONTENT_LENGTH, 0)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        write(response)
        channel.shutdownOutputAfterFlush()
    }

    /** Closes the connection once everything is sent, or only its output if [isMoreExpected]. */
    fun close(isMoreExpected: Boolean): Unit =
        if (isMoreExpected) channel.shutdownOutputAfterFlush() else channel.closeAfterFlush()

    private fun update(now: Instant) {
        val buffer = channel.unsafe().outboundBuffer()
        val current = Unread(buffer?.totalPendingWriteBytes() ?: 0, buffer?.currentProgress() ?: 0)
        if (current == unread) return
        if (current.bytes <= unread.bytes) {
            lastReadAt = now
            share.onProgress(now)
        }
        unread = current
        share.set(HeldFor.UNREAD, current.bytes)
    }
}

/** An error answer that the gateway entry generates itself. */
internal fun errorAnswer(status: Int, reason: String, retryAfter: Duration?): FullHttpResponse {
    val content = Unpooled.copiedBuffer("{\"error\":\"$reason\"}", Charsets.US_ASCII)
    val response = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        content
    )
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
    if (retryAfter != null) {
        val seconds = max(0.0, retryAfter.toDouble(DurationUnit.SECONDS))
        response.headers().set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(seconds))
    }
    return response
}
