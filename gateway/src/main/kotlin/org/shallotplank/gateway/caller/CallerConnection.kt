package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
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
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.ConnectionActivity
import org.shallotplank.gateway.budget.HeldFor
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.http.CountedHeadersFactory
import org.shallotplank.gateway.http.TooManyFieldsException

/**
 * One connection of a caller: reads one request at a time and writes its answer.
 *
 * While a request is unanswered, it keeps reading and queues the received parts, to detect at once
 * when the caller closes the connection. A later request is processed once the caller has read the
 * answers before it. What the connection holds counts in [budget].
 */
internal class CallerConnection(
    private val channel: Channel,
    private val listener: CallerListener,
    private val clock: Clock,
    private val budget: MemoryBudget,
    private val fields: CountedHeadersFactory
) : ChannelInboundHandlerAdapter() {
    private val share = budget.open(::closeForMemory)
    private val answers = AnswerWriter(channel, share, clock)
    private val pending = PendingParts()
    private var arriving: ArrivingRequest? = null
    private var isAnswerOpen = false
    private var closesAfterAnswer = false
    private var discarded: DiscardedRequest? = null
    private var isClosing = false
    private var headerStartedAt: Instant? = null
    private var headBytes = 0L
    private var lastReadAt: Instant = clock.now()

    init {
        share.onPaused = ::onPaused
    }

    /** Address of the caller, for the logs. */
    val remote: String get() = channel.remoteAddress().toString()

    /** What the connection has done lately; one that this process does not read from is busy. */
    fun activity(now: Instant): ConnectionActivity = ConnectionActivity(
        isClosing = isClosing && !answers.isUnread,
        isRunning = isAnswerOpen || share.isPaused,
        silence = now - if (answers.isUnread) answers.progressAt else lastReadAt,
        arrivingFor = (arriving?.startedAt ?: headerStartedAt)?.let { now - it },
        arrivedBytes = arriving?.body?.size?.toLong() ?: headBytes
    )

    /** Records the arrival of [count] bytes, before they are decoded. */
    fun onBytes(count: Int) {
        lastReadAt = clock.now()
        share.onProgress(lastReadAt)
        val isQueued = isAnswerOpen || !pending.isEmpty || !channel.isWritable
        if (isQueued || isClosing || arriving != null) return
        headBytes += count
        if (headerStartedAt == null) headerStartedAt = lastReadAt
    }

    /** Counts what the decoder holds of a head, after it has decoded what arrived. */
    fun onDecoded() {
        if (headerStartedAt == null || isClosing) return
        share.set(HeldFor.HEAD, headBytes * 2 + (fields.latest?.weightBytes ?: 0))
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing || discarded != null) {
            if (message is HttpObject) discarded?.onPart(message)
            ReferenceCountUtil.release(message)
            return
        }
        if (isAnswerOpen || !pending.isEmpty || !channel.isWritable) {
            queue(message)
        } else {
            process(message)
        }
    }

    private fun queue(message: HttpObject) {
        if (!pending.add(message)) {
            if (!closesAfterAnswer) listener.onShed(this, ShedCause.PIPELINED)
            // The requests in excess are not run; the caller notices that by the end.
            closesAfterAnswer = true
            discarded = DiscardedRequest(clock.now(), isWithinLimits = false)
        }
        share.set(HeldFor.PIPELINED, pending.weightBytes)
        updateReading()
    }

    private fun process(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            rejectUndecodable(message.decoderResult().cause())
            return
        }
        if (message is HttpRequest) onHead(message)
        if (message is HttpContent) {
            try {
                if (!isClosing) onBody(message)
            } finally {
                message.release()
            }
        }
    }

    private fun rejectUndecodable(cause: Throwable) = when (cause) {
        is TooManyFieldsException -> {
            listener.onShed(this, ShedCause.FIELDS)
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too many fields")
        }
        is TooLongHttpHeaderException, is TooLongHttpLineException ->
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "header too large")
        else -> reject(HttpResponseStatus.BAD_REQUEST, "not a valid request: ${cause.message}")
    }

    private fun onHead(request: HttpRequest) {
        headerStartedAt = null
        headBytes = 0
        val length = HttpUtil.getContentLength(request, 0L)
        val hasBody = length > 0 || HttpUtil.isTransferEncodingChunked(request)
        when {
            request.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                reject(HttpResponseStatus.BAD_REQUEST, "not exactly one Host header")
            length > listener.limits.maxBodyBytes ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            hasBody && listener.isRefusedBeforeBody(request) -> refuseBeforeBody(request)
            else -> {
                val announced = length.takeIf { HttpUtil.isContentLengthSet(request) }
                arriving = ArrivingRequest(request, channel.alloc(), announced, clock.now())
                share.set(HeldFor.HEAD, weightOf(request))
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
                    )
                }
            }
        }
    }

    /** Passes the request on without its body, so that it is refused as any other one. */
    private fun refuseBeforeBody(request: HttpRequest) {
        discarded = DiscardedRequest(clock.now(), isWithinLimits = true)
        closesAfterAnswer = true
        finishRequest(request, Unpooled.EMPTY_BUFFER)
    }

    private fun onBody(content: HttpContent) {
        val request = arriving ?: return
        val size = request.body.size + content.content().readableBytes()
        if (size > listener.limits.maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return
        }
        request.body.append(content.content())
        share.set(HeldFor.BODY, request.body.allocatedBytes)
        // Counting may have closed this connection.
        if (isClosing) return
        if (content is LastHttpContent) {
            arriving = null
            finishRequest(request.head, request.body.complete())
        } else {
            budget.pauseIfPressed(share)
        }
    }

    private fun finishRequest(request: HttpRequest, received: ByteBuf) {
        isAnswerOpen = true
        share.isRunning = true
        closesAfterAnswer = closesAfterAnswer || !HttpUtil.isKeepAlive(request)
        val message = CallerMessage(request.method(), request.uri(), request.headers(), received)
        listener.onRequest(this, message)
    }

    private fun reject(status: HttpResponseStatus, detail: String) {
        listener.onInvalid(this, status.code(), detail)
        isClosing = true
        discarded = DiscardedRequest(clock.now(), isWithinLimits = status in WITHIN_LIMITS)
        releaseParts()
        answers.refuse(status)
    }

    private fun closeForMemory() {
        listener.onShed(this, ShedCause.MEMORY)
        if (isAnswerOpen || isClosing || answers.isUnread) {
            isClosing = true
            channel.close()
        } else {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much memory is held for callers")
        }
    }

    /** Closes the connection so that another one can be accepted. */
    fun replace() {
        listener.onShed(this, ShedCause.CONNECTIONS)
        isClosing = true
        releaseParts()
        channel.close()
    }

    /** Counts what is held of the answer to the current request. */
    fun holdAnswer(bytes: Long): Unit = share.set(HeldFor.ANSWER, bytes)

    /** Sends an error answer that the gateway entry generates itself. */
    fun sendError(status: Int, reason: String, retryAfter: Duration?): Unit =
        sendWhole(errorAnswer(status, reason, retryAfter))

    /** Sends a complete answer. */
    fun sendWhole(response: FullHttpResponse) {
        markClose(response)
        answers.write(response)
        finishAnswer()
    }

    /** Sends the head of an answer whose body follows in parts. */
    fun begin(response: HttpResponse) {
        markClose(response)
        channel.write(response)
    }

    /** Sends a part of the body. */
    fun write(content: ByteBuf): Unit = answers.write(DefaultHttpContent(content))

    /** Ends an answer that was sent in parts. */
    fun end() {
        answers.write(LastHttpContent.EMPTY_LAST_CONTENT)
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
        if (isClosing) return
        if (!isAnswerOpen && arriving == null && headerStartedAt == null) {
            isClosing = true
            answers.close(isMoreExpected = false)
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
        share.isRunning = false
        lastReadAt = clock.now()
        share.set(HeldFor.HEAD, 0)
        share.set(HeldFor.BODY, 0)
        share.set(HeldFor.ANSWER, 0)
        if (closesAfterAnswer) {
            isClosing = true
            releaseParts()
            answers.close(isMoreExpected = discarded != null)
            return
        }
        processPending()
    }

    private fun processPending() {
        while (!pending.isEmpty && canProcess()) {
            val next = pending.removeFirst()
            share.set(HeldFor.PIPELINED, pending.weightBytes)
            process(next)
        }
        updateReading()
    }

    private fun canProcess(): Boolean = !isAnswerOpen && !isClosing && channel.isWritable

    private fun onPaused(isPaused: Boolean) {
        if (!isPaused) arriving?.addPause(clock.now()) else arriving?.pausedAt = clock.now()
        lastReadAt = clock.now()
        updateReading()
    }

    private fun updateReading() {
        val isReading = isClosing || discarded != null || (!pending.isFull && !share.isPaused)
        if (channel.config().isAutoRead != isReading) channel.config().isAutoRead = isReading
    }

    /** Closes the connection if the caller exceeds a timeout of [CallerLimits]. */
    fun closeIfOverdue(now: Instant) {
        val limits = listener.limits
        if (isStalledReader(now, limits)) {
            listener.onShed(this, ShedCause.SLOW_READER)
            isClosing = true
            channel.close()
            return
        }
        if (isClosing) {
            closeIfDiscarded(now, limits)
            return
        }
        if (isAnswerOpen || share.isPaused) return
        val isHeaderLate = headerStartedAt?.let { now - it > limits.headerTimeout } ?: false
        val isIdle = now - lastReadAt > limits.idleTimeout && !answers.isUnread
        when {
            isHeaderLate -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "header too slow")
            isIdle && arriving != null ->
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow")
            isIdle -> {
                isClosing = true
                channel.close()
            }
            arriving?.isTooSlow(now, limits.idleTimeout * RATE_GRACE_TIMEOUTS) == true -> {
                listener.onShed(this, ShedCause.SLOW_SENDER)
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "body too slow")
            }
        }
    }

    private fun closeIfDiscarded(now: Instant, limits: CallerLimits) {
        val request = discarded ?: return
        if (answers.isUnread) return
        if (request.isOver(now, answers.progressAt, lastReadAt, limits)) channel.close()
    }

    /** Whether the caller reads nothing, or in calm so slowly that it cannot be told apart. */
    private fun isStalledReader(now: Instant, limits: CallerLimits): Boolean =
        answers.isUnreadFor(now, limits.idleTimeout) &&
            (
                !listener.isCalm ||
                    answers.isUnreadFor(now, limits.idleTimeout + HIDDEN_READING_TIME)
                )

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        listener.onWritable(this, channel.isWritable)
        if (channel.isWritable && !isAnswerOpen && !pending.isEmpty) processPending()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val wasUnanswered = isAnswerOpen
        isAnswerOpen = false
        isClosing = true
        releaseParts()
        share.release()
        listener.onClosed(this, wasUnanswered)
    }

    @Deprecated("Netty deprecates it in the base class")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        when (cause) {
            is OutOfMemoryError -> listener.onShed(this, ShedCause.MEMORY)
            is IOException -> Unit
            else -> listener.onFailure(this, cause)
        }
        context.close()
    }

    private fun releaseParts() {
        arriving?.body?.release()
        arriving = null
        pending.release()
        // The connection may stay open for a while to let the caller read its answer.
        if (!isAnswerOpen) fields.clearLatest()
        headerStartedAt = null
        share.set(HeldFor.HEAD, 0)
        share.set(HeldFor.PIPELINED, 0)
        if (!isAnswerOpen) share.set(HeldFor.BODY, 0)
        updateReading()
    }

    private companion object {
        /** Refusals of callers that keep the limits, or do not but for the size of the body. */
        val WITHIN_LIMITS = setOf(
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            HttpResponseStatus.SERVICE_UNAVAILABLE
        )
    }
}
