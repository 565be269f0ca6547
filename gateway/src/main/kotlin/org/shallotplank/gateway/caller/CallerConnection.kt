package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
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
    budget: MemoryBudget,
    private val fields: CountedHeadersFactory
) : ChannelInboundHandlerAdapter() {
    private val share = budget.open(::closeForMemory).also { it.onPaused = ::onPaused }
    private val answers = AnswerWriter(channel, share, clock)
    private val pending = PendingParts()
    private var isAnswerOpen = false
    private var closesAfterAnswer = false
    private var discarded: DiscardedRequest? = null
    private var isClosing = false
    private var lastReadAt: Instant = clock.now()
    private val reader =
        RequestReader(channel, listener, budget, share, fields, clock::now) { isClosing }
    private val timeouts = CallerTimeouts(listener, reader, answers)

    /** Address of the caller, for the logs. */
    val remote: String get() = channel.remoteAddress().toString()

    /** What the connection has done lately; one that this process does not read from is busy. */
    fun activity(now: Instant): ConnectionActivity = ConnectionActivity(
        isClosing = isClosing && !answers.isUnread,
        isRunning = isAnswerOpen || share.isPaused,
        silence = now - if (answers.isUnread) answers.progressAt else lastReadAt,
        arrivingFor = reader.startedAt?.let { now - it },
        arrivedBytes = reader.arrivedBytes
    )

    /** Records the arrival of [count] bytes, before they are decoded. */
    fun onBytes(count: Int) {
        lastReadAt = clock.now()
        share.onProgress(lastReadAt)
        val isQueued = isAnswerOpen || !pending.isEmpty || !channel.isWritable
        if (!isQueued && !isClosing) reader.onBytes(count, lastReadAt)
    }

    /** Counts what the decoder holds of a head, after it has decoded what arrived. */
    fun onDecoded(): Unit = reader.onDecoded()

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
        when (val reading = reader.read(message)) {
            is RequestReading.Incomplete -> Unit
            is RequestReading.Complete -> finishRequest(reading.head, reading.body)
            is RequestReading.RefusedBeforeBody -> refuseBeforeBody(reading.head)
            is RequestReading.Rejected -> reject(reading)
        }
    }

    /** Passes the request on without its body, so that it is refused as any other one. */
    private fun refuseBeforeBody(request: HttpRequest) {
        discarded = DiscardedRequest(clock.now(), isWithinLimits = true)
        closesAfterAnswer = true
        finishRequest(request, Unpooled.EMPTY_BUFFER)
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
        discarded = discardedAfter(status, clock.now())
        releaseParts()
        answers.refuse(status)
    }

    private fun reject(rejected: RequestReading.Rejected) {
        rejected.shed?.let { listener.onShed(this, it) }
        reject(rejected.status, rejected.detail)
    }

    private fun closeNow() {
        isClosing = true
        channel.close()
    }

    private fun closeForMemory() {
        listener.onShed(this, ShedCause.MEMORY)
        if (isAnswerOpen || isClosing || answers.isUnread) {
            closeNow()
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
        isAnswerOpen = false
        closeNow()
    }

    /** Closes the connection if it is idle. */
    fun closeWhenIdle() {
        if (isClosing || isAnswerOpen || !reader.isIdle) return
        isClosing = true
        answers.close(isMoreExpected = false)
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
        reader.onPaused(isPaused, clock.now())
        lastReadAt = clock.now()
        updateReading()
    }

    private fun updateReading() {
        val isReading = isClosing || discarded != null || (!pending.isFull && !share.isPaused)
        if (channel.config().isAutoRead != isReading) channel.config().isAutoRead = isReading
    }

    /** Closes the connection if the caller exceeds a timeout of [CallerLimits]. */
    fun closeIfOverdue(now: Instant) {
        val overdue = when {
            isClosing -> timeouts.whileClosing(now, lastReadAt, discarded)
            isAnswerOpen || share.isPaused -> timeouts.ofReading(now)
            else -> timeouts.whileOpen(now, lastReadAt)
        }
        if (overdue is Overdue.Reject) reject(overdue.rejected)
        if (overdue is Overdue.Close) {
            overdue.shed?.let { listener.onShed(this, it) }
            closeNow()
        }
    }

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
        reader.release()
        pending.release()
        // The connection may stay open for a while to let the caller read its answer.
        if (!isAnswerOpen) fields.clearLatest()
        share.set(HeldFor.HEAD, 0)
        share.set(HeldFor.PIPELINED, 0)
        if (!isAnswerOpen) share.set(HeldFor.BODY, 0)
        updateReading()
    }
}
