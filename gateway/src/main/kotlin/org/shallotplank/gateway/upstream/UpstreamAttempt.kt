package org.shallotplank.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.gateway.AttemptFailure
import org.shallotplank.core.gateway.EngineLoad
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.Exchange
import org.shallotplank.gateway.HeaderNames
import org.shallotplank.gateway.budget.HeldBody

/** Dependencies that the [UpstreamAttempt]s of a process share. */
internal class AttemptContext(
    val headers: HeaderNames,
    val clock: Clock,
    val pool: UpstreamPool,
    val emit: (GatewayEvent) -> Unit,
    val log: (LogRecord) -> Unit,
    /** Called with the pause before each event of a stream except the first. */
    val recordPause: (UpstreamKey, Duration) -> Unit
)

/**
 * One attempt at a request: reads the answer of an upstream and forwards it to the caller.
 *
 * Streams are forwarded event by event. Other answers are buffered until they are complete, so that
 * the answer of a retry can replace them, unless they are longer than [MAX_HELD_BYTES].
 */
internal class UpstreamAttempt(
    private val exchange: Exchange,
    private val number: Int,
    private val target: UpstreamTarget,
    private val isStream: Boolean,
    private val context: AttemptContext
) : AnswerReader {
    private var connection: UpstreamConnection? = null
    private var head: HttpResponse? = null
    private var isSkipping = false
    private var isConnectionUnusable = false
    private var skippedBytes = 0
    private var mode = AnswerMode.HELD
    private val held = HeldBody(ByteBufAllocator.DEFAULT, announcedBytes = null)
    private val events = EventSplitter()
    private val startedAt: Instant = context.clock.now()
    private var firstEvent: Duration? = null
    private var longestPause: Duration? = null

    /** Number of events that arrived. */
    var eventCount = 0
        private set
    private var lastEventAt: Instant? = null
    private var isOver = false
    private var lastProgressAt: Instant = context.clock.now()

    /** Time since the answer last made progress; bytes of a partial event do not count. */
    fun timeSinceProgress(now: Instant): Duration = now - lastProgressAt

    val isRunning: Boolean get() = !isOver

    val attemptNumber: Int get() = number

    /** Sends [request] on [connection]; the attempt must still be running. */
    fun start(connection: UpstreamConnection, request: FullHttpRequest) {
        this.connection = connection
        lastProgressAt = context.clock.now()
        connection.send(request, this)
    }

    /** Stops the attempt and closes its connection, which signals this to the upstream. */
    fun cancel() {
        if (isOver) return
        end()
        connection?.close()
    }

    /** Resumes or pauses reading, so that a slow caller does not fill the buffers. */
    fun setReading(isReading: Boolean) {
        if (!isOver) connection?.setReading(isReading)
    }

    override fun onPart(part: HttpObject) {
        try {
            if (!isOver) process(part)
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun process(part: HttpObject) {
        if (part.decoderResult().isFailure) {
            fail(AttemptFailure.GARBLED, part.decoderResult().cause().toString())
            return
        }
        if (part is HttpResponse) onHead(part)
        if (part is HttpContent && !isOver) onContent(part)
    }

    private fun onHead(response: HttpResponse) {
        noticeOf(response, target.key, context.headers)?.let(context.emit)
        val rate = requestRateOf(response, context.headers)
        if (rate != null) reportRate(response, rate)
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim || belongsToOtherRequest(response)) {
            skip(response, isInterim)
            return
        }
        if (isUnattributable(response)) {
            fail(AttemptFailure.GARBLED, "status ${response.status().code()} without attempt id")
            return
        }
        // A repetition of such a refusal would look like the answer to the next request.
        val isAnonymous = response.headers()[context.headers.attemptId] == null
        if (isAnonymous && isNotRun(response)) isConnectionUnusable = true
        lastProgressAt = context.clock.now()
        connection?.recordKeepAlive(response)
        head = response
        mode =
            if (isStream && response.status().code() == OK) AnswerMode.EVENTS else AnswerMode.HELD
        if (isInvalid(response)) {
            fail(AttemptFailure.GARBLED)
            return
        }
        // Answers that may be late or not genuine do not lift a limit.
        if (rate == null) reportRate(response, rate = null)
        if (!isNotRun(response)) {
            context.emit(
                GatewayEvent.HeadReceived(
                    exchange.id,
                    number,
                    response.status().code(),
                    loadOf(response)
                )
            )
        }
    }

    private fun skip(response: HttpResponse, isInterim: Boolean) {
        isSkipping = true
        countSkipped(SKIPPED_HEAD_BYTES)
        if (isInterim) return
        isConnectionUnusable = true
        context.log(
            logRecord(
                LogEvent.GATEWAY_ANSWER_SKIPPED,
                "request" to exchange.id,
                "attempt_id" to exchange.message.headers[context.headers.attemptId],
                "attempt" to number,
                "upstream" to target.key,
                "status" to response.status().code(),
                "answered_id" to response.headers()[context.headers.attemptId]
            )
        )
    }

    private fun reportRate(response: HttpResponse, rate: Double?) {
        if (response.status().code() == MISDIRECTED) return
        context.emit(GatewayEvent.UpstreamRateObserved(target.key, rate))
    }

    /**
     * Whether the headers of [response] are not those of a genuine answer of an upstream.
     *
     * Upstreams send no content encoding. They sign each success and echo the attempt id in it.
     */
    private fun isInvalid(response: HttpResponse): Boolean {
        val headers = response.headers()
        val isSigned = headers.contains(context.headers.signature) &&
            headers.contains(context.headers.attemptId)
        return headers.contains(HttpHeaderNames.CONTENT_ENCODING) ||
            (isSuccess(response) && !isSigned)
    }

    /**
     * Whether [response] is a late or duplicate answer to an earlier request.
     *
     * A success without an attempt id is not the answer to this one, which would echo the id.
     */
    private fun belongsToOtherRequest(response: HttpResponse): Boolean {
        val sent = exchange.message.headers[context.headers.attemptId]
        val echoed = response.headers()[context.headers.attemptId]
        if (echoed == null) return connection?.isFirstRequest == false && isSuccess(response)
        return sent != null && echoed != sent
    }

    /**
     * Whether [response] may answer this request or an earlier one of the connection.
     *
     * If it is skipped as a late answer, a second answer to this request could turn the failure
     * that it states into a success.
     */
    private fun isUnattributable(response: HttpResponse): Boolean =
        response.headers()[context.headers.attemptId] == null &&
            connection?.isFirstRequest == false &&
            !isNotRun(response)

    private fun isSuccess(response: HttpResponse): Boolean =
        response.status().codeClass() == HttpStatusClass.SUCCESS

    private fun isNotRun(response: HttpResponse): Boolean =
        response.status().code() == MISDIRECTED ||
            (response.headers().contains(context.headers.notRun) && response.status().code() >= 400)

    private fun loadOf(response: HttpResponse): EngineLoad? {
        val numbers = response.headers()[context.headers.engineLoad]
            ?.split(',')
            ?.mapNotNull { it.trim().toIntOrNull() }
        if (numbers?.size != LOAD_NUMBERS) return null
        return EngineLoad(running = numbers[0], waiting = numbers[1], slots = numbers[2])
    }

    private fun onContent(part: HttpContent) {
        val isLast = part is LastHttpContent
        if (isSkipping) {
            if (isLast) isSkipping = false
            countSkipped(part.content().readableBytes())
            return
        }
        val response = head ?: return
        if (mode != AnswerMode.EVENTS) lastProgressAt = context.clock.now()
        when (mode) {
            AnswerMode.EVENTS -> onEvents(response, part.content())
            AnswerMode.HELD -> hold(response, part.content())
            AnswerMode.PASSED -> exchange.connection.write(part.content().retain())
        }
        if (isLast && !isOver) onComplete(response)
    }

    /** Counts bytes that are not part of this attempt's answer; too many fail the attempt. */
    private fun countSkipped(bytes: Int) {
        skippedBytes += bytes
        if (skippedBytes > MAX_SKIPPED_BYTES) fail(AttemptFailure.GARBLED)
    }

    private fun onEvents(response: HttpResponse, content: ByteBuf) {
        val whole = events.append(content)
        exchange.connection.holdAnswer(events.partialEventBytes.toLong())
        if (events.partialEventBytes > MAX_EVENT_BYTES) {
            fail(AttemptFailure.GARBLED)
            return
        }
        if (whole == null) return
        if (events.hadContent) {
            lastProgressAt = context.clock.now()
            eventCount += events.contentEvents
            recordPause(lastProgressAt)
        }
        begin(response)
        events.lastEventId?.let { exchange.lastEventId = it }
        exchange.connection.write(whole)
    }

    private fun recordPause(now: Instant) {
        val before = lastEventAt
        if (before == null) {
            firstEvent = now - startedAt
        } else {
            val pause = now - before
            longestPause = maxOf(pause, longestPause ?: pause)
            context.recordPause(target.key, pause)
        }
        lastEventAt = now
    }

    private fun hold(response: HttpResponse, content: ByteBuf) {
        if (held.size + content.readableBytes() <= MAX_HELD_BYTES) {
            held.append(content)
            exchange.connection.holdAnswer(held.allocatedBytes)
            return
        }
        if (isNotRun(response)) {
            end()
            connection?.close()
            emitNotRun(response)
            return
        }
        if (exchange.isAnswerBegun) {
            // The caller has the beginning of an earlier attempt's answer.
            fail(AttemptFailure.GARBLED)
            return
        }
        mode = AnswerMode.PASSED
        begin(response)
        exchange.connection.write(held.complete().retain())
        exchange.connection.write(content.retain())
    }

    /** Sends the head to the caller unless a head was sent, possibly by an earlier attempt. */
    private fun begin(response: HttpResponse) {
        if (exchange.isAnswerBegun) return
        val begun = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        copyEndToEnd(response.headers(), begun.headers())
        begun.headers()
            .remove(HttpHeaderNames.CONTENT_LENGTH)
            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        exchange.isAnswerBegun = true
        exchange.connection.begin(begun)
        context.emit(GatewayEvent.AnswerBegun(exchange.id, number))
    }

    private fun onComplete(response: HttpResponse) {
        val status = response.status().code()
        when {
            isNotRun(response) -> {
                endAndReleaseConnection(response)
                emitNotRun(response)
            }
            mode == AnswerMode.HELD -> {
                exchange.held = heldAnswer(response)
                endAndReleaseConnection(response)
                context.emit(GatewayEvent.AnswerHeld(exchange.id, number, status))
            }
            isBrokenOff(response) -> fail(AttemptFailure.CONNECTION_LOST)
            else -> {
                begin(response)
                if (events.partialEventBytes > 0) {
                    exchange.connection.write(events.removePartialEvent())
                }
                exchange.connection.end()
                endAndReleaseConnection(response)
                context.emit(
                    GatewayEvent.AnswerEnded(
                        requestId = exchange.id,
                        attempt = number,
                        status = status,
                        firstEvent = firstEvent,
                        longestPause = longestPause,
                        events = eventCount
                    )
                )
            }
        }
    }

    /**
     * Whether the stream ended before its end.
     *
     * A stream does not end inside an event. Without a length or chunks, nothing but its events
     * shows that there was a stream.
     */
    private fun isBrokenOff(response: HttpResponse): Boolean = when {
        mode != AnswerMode.EVENTS -> false
        lastEventAt == null && !isFramed(response) -> true
        else -> events.partialEventBytes > 0 && (lastEventAt != null || isEventStream(response))
    }

    private fun isEventStream(response: HttpResponse): Boolean =
        HttpUtil.getMimeType(response)?.trim()?.contentEquals(EVENT_STREAM, true) == true

    private fun emitNotRun(response: HttpResponse) {
        val status = response.status().code()
        val isMisdirected = status == MISDIRECTED
        context.emit(GatewayEvent.NotRun(exchange.id, number, status, isMisdirected))
    }

    private fun heldAnswer(response: HttpResponse): DefaultFullHttpResponse {
        val status = HttpResponseStatus.valueOf(response.status().code())
        val content = held.complete()
        val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content.retain())
        copyEndToEnd(response.headers(), answer.headers())
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        return answer
    }

    private fun endAndReleaseConnection(response: HttpResponse) {
        val open = connection
        end()
        if (open == null) return
        if (isFramed(response) && !isConnectionUnusable) {
            context.pool.release(target, open)
        } else {
            open.close()
        }
    }

    /** Whether headers delimit the body; otherwise it ends when the connection closes. */
    private fun isFramed(response: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    override fun onConnectionLost(reason: String) {
        if (!isOver) fail(AttemptFailure.CONNECTION_LOST, reason)
    }

    private fun fail(cause: AttemptFailure, detail: String? = null) {
        end()
        connection?.close()
        exchange.connection.holdAnswer(0)
        context.emit(GatewayEvent.AttemptLost(exchange.id, number, cause, detail))
    }

    private fun end() {
        isOver = true
        held.release()
    }

    private enum class AnswerMode {
        /** Buffered until it is complete. */
        HELD,

        /** Forwarded event by event, each once it is complete. */
        EVENTS,

        /** Forwarded as it arrives, because it is longer than [MAX_HELD_BYTES]. */
        PASSED
    }

    private companion object {
        const val OK = 200
        const val EVENT_STREAM = "text/event-stream"
        const val LOAD_NUMBERS = 3

        /** Longest answer that is buffered; longer ones are forwarded as they arrive. */
        const val MAX_HELD_BYTES = 262_144

        /** Limit on interim answers and answers to other requests; above it the attempt fails. */
        const val MAX_SKIPPED_BYTES = 1_048_576

        /** Size that a skipped head counts as, so that endless empty answers reach the limit. */
        const val SKIPPED_HEAD_BYTES = 4_096

        /** Longest event; more bytes without an empty line are not an event stream. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}
