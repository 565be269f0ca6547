package org.shallotplank.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.QueryStringDecoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import org.shallotplank.gateway.budget.ConnectionActivity
import org.shallotplank.gateway.budget.ShedCause

/** One connection of an [HttpEndpoint]; answers one request after the other. */
internal class EndpointConnection(
    private val channel: Channel,
    private val answer: (EndpointRequest, reply: (HttpReply) -> Unit) -> Unit,
    private val limits: EndpointLimits
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private class Waiting(val request: EndpointRequest, val isKept: Boolean)

    private val waiting = ArrayDeque<Waiting>()

    @Volatile
    private var isAnswering = false

    @Volatile
    private var isAnswered = false

    @Volatile
    private var isClosing = false

    @Volatile
    private var lastActiveAt: TimeMark = TimeSource.Monotonic.markNow()

    @Volatile
    private var requestStartedAt: TimeMark? = null

    @Volatile
    private var writingSince: TimeMark? = null

    @Volatile
    private var refusedAt: TimeMark? = null

    @Volatile
    private var arrivedBytes = 0L

    fun activity(): ConnectionActivity = ConnectionActivity(
        isClosing = isClosing,
        isRepeatable = isAnswered && !isAnswering && !limits.keepsIdle,
        silence = lastActiveAt.elapsedNow(),
        arrivingFor = requestStartedAt?.elapsedNow(),
        arrivedBytes = arrivedBytes
    )

    /** Records the arrival of [count] bytes, before they are decoded. */
    fun onBytes(count: Int) {
        lastActiveAt = TimeSource.Monotonic.markNow()
        if (requestStartedAt == null) requestStartedAt = lastActiveAt
        arrivedBytes += count
    }

    /** Closes the connection because of [cause]. */
    fun close(cause: ShedCause) {
        limits.onShed(cause)
        channel.close()
    }

    /** Closes the connection if its client sends a request or reads an answer too slowly. */
    fun closeIfOverdue() {
        if (isClosing) {
            // The body of a refused request is discarded for as long as it may take to arrive.
            if (refusedAt.isOlderThan(REQUEST_TIME)) channel.close()
            return
        }
        if (requestStartedAt.isOlderThan(REQUEST_TIME)) close(ShedCause.SLOW_SENDER)
        if (writingSince.isOlderThan(READING_TIME)) close(ShedCause.SLOW_READER)
    }

    /** Refuses a request before its body is read, and closes the connection. */
    fun refuseTooLarge() {
        if (isClosing) return
        isClosing = true
        val response = HttpReply(TOO_LARGE).message()
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response)
        refusedAt = TimeSource.Monotonic.markNow()
        channel.shutdownOutputAfterFlush()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
        if (isClosing) return
        requestStartedAt = null
        arrivedBytes = 0
        if (message.decoderResult().isFailure) {
            send(HttpReply(status = BAD_REQUEST), isKept = false)
            return
        }
        if (waiting.size >= MAX_WAITING) {
            close(ShedCause.PIPELINED)
            return
        }
        val target = QueryStringDecoder(message.uri())
        val request = EndpointRequest(
            message.method().name(),
            target.path(),
            target.parameters(),
            ByteBufUtil.getBytes(message.content())
        )
        waiting += Waiting(request, HttpUtil.isKeepAlive(message))
        answerNext()
    }

    private fun answerNext() {
        if (isAnswering) return
        val next = waiting.removeFirstOrNull() ?: return
        isAnswering = true
        answer(next.request) { send(it, next.isKept) }
    }

    private fun send(reply: HttpReply, isKept: Boolean) {
        val response = reply.message()
        if (!isKept) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        writingSince = TimeSource.Monotonic.markNow()
        channel.writeAndFlush(response).addListener(
            ChannelFutureListener {
                writingSince = null
                lastActiveAt = TimeSource.Monotonic.markNow()
                isAnswering = false
                isAnswered = true
                if (isKept && it.isSuccess) answerNext() else channel.close()
            }
        )
    }

    @Deprecated("Netty deprecates it in the base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is OutOfMemoryError) limits.onShed(ShedCause.MEMORY)
        context.close()
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413

        /** Clients send a request after the answer to the one before. */
        const val MAX_WAITING = 32

        /** Far above the time in which a request of a few kilobytes arrives. */
        val REQUEST_TIME = 10.seconds

        /** Far above the time in which a copy of a table is read. */
        val READING_TIME = 10.seconds

        fun TimeMark?.isOlderThan(limit: Duration): Boolean = this != null && elapsedNow() > limit
    }
}

/** Reports each read to the connection, also if it completes no request. */
internal class EndpointActivityHandler(private val connection: EndpointConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytes((message as ByteBuf).readableBytes())
        context.fireChannelRead(message)
    }
}

/** Aggregates requests and refuses those that are too long before their body is read. */
internal class RefusingAggregator(maxBytes: Int, private val connection: EndpointConnection) :
    HttpObjectAggregator(maxBytes, true) {
    override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) =
        connection.refuseTooLarge()
}
