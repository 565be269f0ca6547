package org.shallotplank.gateway.upstream

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Receives the answer to a request on an [UpstreamConnection]. */
internal interface AnswerReader {
    /** Called with each part of an answer, which the reader must release. */
    fun onPart(part: HttpObject)

    /** Called when the connection was lost, with the reason; no other call follows. */
    fun onConnectionLost(reason: String)
}

/** One connection to an upstream, which carries one request at a time. */
internal class UpstreamConnection(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private var reader: AnswerReader? = null
    private var failure: Throwable? = null
    private var requestsSent = 0
    private var lastWrite: ChannelFuture? = null
    private var keepAliveTime: Duration = DEFAULT_KEEP_ALIVE

    /** When the last answer ended; the connection has been idle since then. */
    var idleSince: Instant = Instant.DISTANT_PAST
        private set

    /** Called when the connection is closed. */
    var onClosed: () -> Unit = {}

    /** Whether a request is in flight. */
    val isRequestOpen: Boolean get() = reader != null

    /** Whether the current request is the first one on this connection. */
    val isFirstRequest: Boolean get() = requestsSent == 1

    /** Whether the connection is open and its idle time is below the keep-alive time. */
    fun isUsable(now: Instant): Boolean = channel.isActive && now - idleSince < keepAliveTime

    /** Sends [request], whose answer goes to [reader]. */
    fun send(request: FullHttpRequest, reader: AnswerReader) {
        this.reader = reader
        requestsSent++
        lastWrite = channel.writeAndFlush(request)
    }

    /** Records how long the upstream keeps an idle connection open according to [answer]. */
    fun recordKeepAlive(answer: HttpMessage) {
        if (!HttpUtil.isKeepAlive(answer)) {
            keepAliveTime = Duration.ZERO
            return
        }
        val seconds = answer.headers()[KEEP_ALIVE]
            ?.substringAfter("timeout=", missingDelimiterValue = "")
            ?.takeWhile { it.isDigit() }
            ?.toIntOrNull()
        keepAliveTime =
            if (seconds == null) DEFAULT_KEEP_ALIVE else seconds.seconds * KEEP_ALIVE_SHARE
    }

    /** Whether another request may be sent once the current one has ended. */
    fun isReusable(): Boolean =
        channel.isActive && keepAliveTime > Duration.ZERO && lastWrite?.isSuccess == true

    /** Ends the current request and keeps the connection open. */
    fun release(now: Instant) {
        reader = null
        idleSince = now
        channel.config().isAutoRead = true
    }

    /** Resumes or pauses reading, so that a slow caller does not fill the buffers. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    /** Closes the connection without another call to its reader. */
    fun close() {
        reader = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = reader
        if (current == null || message !is HttpObject) {
            // A connection that delivers bytes without a request in flight cannot be reused.
            ReferenceCountUtil.release(message)
            channel.close()
            return
        }
        current.onPart(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed()
        val current = reader ?: return
        reader = null
        current.onConnectionLost(lossReason())
    }

    private fun lossReason(): String {
        val writeFailure = lastWrite?.cause()
        return when {
            failure != null -> "read: $failure"
            writeFailure != null -> "write: $writeFailure"
            else -> "closed by the upstream"
        }
    }

    @Deprecated("Netty deprecates it in the base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failure = cause
        context.close()
    }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"

        /** Upstreams with a timeout below 1 s cannot state it and may close any time after this. */
        val DEFAULT_KEEP_ALIVE = 250.milliseconds

        /** Fraction of the stated timeout for which an idle connection is reused. */
        const val KEEP_ALIVE_SHARE = 0.6
    }
}
