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

/** What runs on an [UpstreamConnection]. */
internal interface UpstreamReader {
    /** A part of an answer came; the reader releases it. */
    fun onPart(part: HttpObject)

    /** Nothing more will come. */
    fun onConnectionLost()
}

/** One connection to an upstream, which carries one request at a time. */
internal class UpstreamConnection(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private var reader: UpstreamReader? = null
    private var wasReset = false
    private var requestsSent = 0
    private var lastWrite: ChannelFuture? = null
    private var keepAliveTime: Duration = DEFAULT_KEEP_ALIVE

    /** When its last answer ended; it is idle from then on. */
    var idleSince: Instant = Instant.DISTANT_PAST
        private set

    /** Called when the connection is closed. */
    var onClosed: () -> Unit = {}

    /** Whether a request waits for its answer. */
    val isRequestOpen: Boolean get() = reader != null

    /** Whether the present request is the first one on it. */
    val isFirstRequest: Boolean get() = requestsSent == 1

    /** Whether it is open and its upstream has not said that it will close it by now. */
    fun isUsable(now: Instant): Boolean = channel.isActive && now - idleSince < keepAliveTime

    /** Sends [request], whose answer goes to [reader]. */
    fun send(request: FullHttpRequest, reader: UpstreamReader) {
        this.reader = reader
        requestsSent++
        lastWrite = channel.writeAndFlush(request)
    }

    /** Notes how long the upstream keeps the connection, as [answer] says. */
    fun noteKeepAlive(answer: HttpMessage) {
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

    /** Whether another request may be sent once the present one has ended. */
    fun isReusable(): Boolean =
        channel.isActive && keepAliveTime > Duration.ZERO && lastWrite?.isSuccess == true

    /** Ends the present request and keeps the connection. */
    fun release(now: Instant) {
        reader = null
        idleSince = now
        channel.config().isAutoRead = true
    }

    /** Reads further, or not, so that no more is held than the caller takes. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    /** Closes the connection; its reader is told nothing more. */
    fun close() {
        reader = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = reader
        if (current == null || message !is HttpObject) {
            // Bytes that belong to no request make the connection useless.
            ReferenceCountUtil.release(message)
            channel.close()
            return
        }
        if (wasReset) {
            // The decoder takes the end of the connection for that of an answer without a length.
            ReferenceCountUtil.release(message)
            reader = null
            current.onConnectionLost()
            return
        }
        current.onPart(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed()
        val current = reader ?: return
        reader = null
        current.onConnectionLost()
    }

    @Deprecated("Netty marks it so in its base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        wasReset = true
        context.close()
    }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"

        /** Upstreams that state no whole second may close a connection any moment after this. */
        val DEFAULT_KEEP_ALIVE = 250.milliseconds

        /** Part of the stated time for which a connection is used again. */
        const val KEEP_ALIVE_SHARE = 0.6
    }
}
