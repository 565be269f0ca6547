package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlin.math.max
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits

/** Receives the events of a [CallerConnection]. */
internal interface CallerListener {
    /** The current limits. */
    val limits: CallerLimits

    /** Whether connections are to be closed after their current answer. */
    val isStopping: Boolean

    /** Called when a complete request was read; the listener answers it on [connection]. */
    fun onRequest(connection: CallerConnection, message: CallerMessage)

    /** Called when the connection rejects an invalid, large or slow request with [status]. */
    fun onInvalid(connection: CallerConnection, status: Int, detail: String)

    /** Called on close; [isAnswerOpen] is true if a request was unanswered. */
    fun onClosed(connection: CallerConnection, isAnswerOpen: Boolean)

    /** Called when the write buffer becomes full, and when it has space again. */
    fun onWritable(connection: CallerConnection, isWritable: Boolean)
}

/**
 * One connection of a caller: reads one request at a time and writes its answer.
 *
 * While a request is unanswered, it keeps reading and queues the received parts, to detect at once
 * when the caller closes the connection.
 */
internal class CallerConnection(
    private val channel: Channel,
    private val listener: CallerListener,
    private val clock: Clock
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private val pending = ArrayDeque<HttpObject>()
    private var isAnswerOpen = false
    private var closesAfterAnswer = false
    private var isClosing = false
    private var headerStartedAt: Instant? = null
    private var lastReadAt: Instant = clock.now()

    /** Address of the caller, for the logs. */
    val remote: String get() = channel.remoteAddress().toString()

    /** Records the arrival of bytes, before they are decoded. */
    fun onBytes() {
        lastReadAt = clock.now()
        if (!isAnswerOpen && head == null && headerStartedAt == null) headerStartedAt = lastReadAt
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        if (isAnswerOpen) {
            pending += message
            if (pending.size >= MAX_PENDING_PARTS) channel.config().isAutoRead = false
            return
        }
        process(message)
    }

    private fun process(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            rejectUndecodable(message.decoderResult().cause())
            return
        }
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent && !isClosing) onBody(message)
    }

    private fun rejectUndecodable(cause: Throwable) = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException ->
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "header too large")
        else -> reject(HttpResponseStatus.BAD_REQUEST, "not a valid request: ${cause.message}")
    }

    private fun onHead(request: HttpRequest) {
        headerStartedAt = null
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            request.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                reject(HttpResponseStatus.BAD_REQUEST, "not exactly one Host header")
            length > listener.limits.maxBodyBytes ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            else -> {
                head = request
                body = Unpooled.compositeBuffer(MAX_BODY_PARTS)
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
                    )
                }
            }
        }
    }

    private fun onBody(content: HttpContent) {
        val request = head
        val received = body
        if (request == null || received == null) {
            content.release()
            return
        }
        if (received.readableBytes() + content.content().readableBytes() >
            listener.limits.maxBodyBytes
        ) {
            content.release()
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return
        }
        received.addComponent(true, content.content())
        if (content is LastHttpContent) finishRequest(request, received)
    }

    private fun finishRequest(request: HttpRequest, received: ByteBuf) {
        head = null
        body = null
        isAnswerOpen = true
        closesAfterAnswer = !HttpUtil.isKeepAlive(request)
        val message = CallerMessage(request.method(), request.uri(), request.headers(), received)
        listener.onRequest(this, message)
    }

    private fun reject(status: HttpResponseStatus, detail: String) {
        listener.onInvalid(this, status.code(), detail)
        releaseParts()
        isClosing = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers()
            .set(HttpHeaderNames.CONTENT_LENGTH, 0)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Sends an error answer that the gateway entry generates itself. */
    fun sendError(status: Int, reason: String, retryAfter: Duration?) {
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
        sendWhole(response)
    }

    /** Sends a complete answer. */
    fun sendWhole(response: FullHttpResponse) {
        markClose(response)
        channel.writeAndFlush(response)
        finishAnswer()
    }

    /** Sends the head of an answer whose body follows in parts. */
    fun begin(response: HttpResponse) {
        markClose(response)
        channel.write(response)
    }

    /** Sends a part of the body. */
    fun write(content: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(content))
    }

    /** Ends an answer that was sent in parts. */
    fun end() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        finishAnswer()
    }

    /** Closes the connection in the middle of an answer. */
    fun cut() {
        isClosing = true
        isAnswerOpen = false
        channel.close()
    }

    /** Closes the connection if it is idle. */
    fun closeWhenIdle() {
        if (!isAnswerOpen && head == null && headerStartedAt == null) {
            isClosing = true
            channel.close()
        }
    }

    private fun markClose(response: HttpMessage) {
        closesAfterAnswer = closesAfterAnswer || listener.isStopping
        if (closesAfterAnswer) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun finishAnswer() {
        isAnswerOpen = false
        lastReadAt = clock.now()
        if (closesAfterAnswer) {
            isClosing = true
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        while (pending.isNotEmpty() && !isAnswerOpen && !isClosing) process(pending.removeFirst())
        if (pending.isEmpty() && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    /** Closes the connection if the caller exceeds a timeout of [CallerLimits]. */
    fun closeIfOverdue(now: Instant) {
        if (isAnswerOpen || isClosing) return
        val limits = listener.limits
        val isHeaderLate = headerStartedAt?.let { now - it > limits.headerTimeout } ?: false
        val isIdle = now - lastReadAt > limits.idleTimeout
        when {
            isHeaderLate -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "header too slow")
            isIdle && head != null -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow")
            isIdle -> {
                isClosing = true
                channel.close()
            }
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext): Unit =
        listener.onWritable(this, channel.isWritable)

    override fun channelInactive(context: ChannelHandlerContext) {
        val wasUnanswered = isAnswerOpen
        isAnswerOpen = false
        isClosing = true
        releaseParts()
        listener.onClosed(this, wasUnanswered)
    }

    @Deprecated("Netty deprecates it in the base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun releaseParts() {
        head = null
        body?.release()
        body = null
        pending.forEach { ReferenceCountUtil.release(it) }
        pending.clear()
    }

    private companion object {
        /** Number of queued parts of later requests at which reading from the caller pauses. */
        const val MAX_PENDING_PARTS = 64

        /** Number of parts above which a body is copied into one buffer. */
        const val MAX_BODY_PARTS = 16
    }
}
