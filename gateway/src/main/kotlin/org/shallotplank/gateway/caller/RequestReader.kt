package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.HeldFor
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.budget.MemoryShare
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.http.CountedHeadersFactory
import org.shallotplank.gateway.http.TooManyFieldsException

/** What a decoded part of a request leads to. */
internal sealed interface RequestReading {
    /** More of the request has to arrive, or the connection closes. */
    data object Incomplete : RequestReading

    /** The request is complete; the receiver releases [body]. */
    class Complete(val head: HttpRequest, val body: ByteBuf) : RequestReading

    /** The request is refused whatever its body is. */
    class RefusedBeforeBody(val head: HttpRequest) : RequestReading

    /** The request is outside the limits, because of [shed] if that is not null. */
    class Rejected(
        val status: HttpResponseStatus,
        val detail: String,
        val shed: ShedCause? = null
    ) : RequestReading
}

/**
 * Reads one request at a time from the decoded parts of a connection and counts it in [share].
 *
 * @param isClosing whether the connection closes, which counting may have caused.
 */
internal class RequestReader(
    private val channel: Channel,
    private val listener: CallerListener,
    private val budget: MemoryBudget,
    private val share: MemoryShare,
    private val fields: CountedHeadersFactory,
    private val now: () -> Instant,
    private val isClosing: () -> Boolean
) {
    private var headBytes = 0L

    /** The request whose body is arriving. */
    var arriving: ArrivingRequest? = null
        private set

    /** When the head that is arriving began. */
    var headerStartedAt: Instant? = null
        private set

    /** Whether no part of a request has arrived. */
    val isIdle: Boolean get() = arriving == null && headerStartedAt == null

    /** When the request that is arriving began. */
    val startedAt: Instant? get() = arriving?.startedAt ?: headerStartedAt

    /** Bytes of the request that is arriving. */
    val arrivedBytes: Long get() = arriving?.body?.size?.toLong() ?: headBytes

    /** Records the arrival of [count] bytes of a head or body, before they are decoded. */
    fun onBytes(count: Int, at: Instant) {
        if (arriving != null) return
        headBytes += count
        if (headerStartedAt == null) headerStartedAt = at
    }

    /** Counts what the decoder holds of a head, after it has decoded what arrived. */
    fun onDecoded() {
        if (headerStartedAt == null || isClosing()) return
        share.set(HeldFor.HEAD, headBytes * 2 + (fields.latest?.weightBytes ?: 0))
    }

    /** Reads and releases [message]. */
    fun read(message: HttpObject): RequestReading {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            return undecodable(message.decoderResult().cause())
        }
        var reading: RequestReading = RequestReading.Incomplete
        if (message is HttpRequest) reading = onHead(message)
        if (message is HttpContent) {
            try {
                if (reading == RequestReading.Incomplete && !isClosing()) reading = onBody(message)
            } finally {
                message.release()
            }
        }
        return reading
    }

    private fun undecodable(cause: Throwable) = when (cause) {
        is TooManyFieldsException -> RequestReading.Rejected(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "too many fields",
            ShedCause.FIELDS
        )
        is TooLongHttpHeaderException, is TooLongHttpLineException -> RequestReading.Rejected(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "header too large"
        )
        else -> RequestReading.Rejected(
            HttpResponseStatus.BAD_REQUEST,
            "not a valid request: ${cause.message}"
        )
    }

    private fun onHead(request: HttpRequest): RequestReading {
        headerStartedAt = null
        headBytes = 0
        val length = HttpUtil.getContentLength(request, 0L)
        val hasBody = length > 0 || HttpUtil.isTransferEncodingChunked(request)
        return when {
            request.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                RequestReading.Rejected(
                    HttpResponseStatus.BAD_REQUEST,
                    "not exactly one Host header"
                )
            length > listener.limits.maxBodyBytes -> bodyTooLarge()
            hasBody && listener.isRefusedBeforeBody(request) ->
                RequestReading.RefusedBeforeBody(request)
            else -> {
                val announced = length.takeIf { HttpUtil.isContentLengthSet(request) }
                arriving = ArrivingRequest(request, channel.alloc(), announced, now())
                share.set(HeldFor.HEAD, weightOf(request))
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
                    )
                }
                RequestReading.Incomplete
            }
        }
    }

    private fun onBody(content: HttpContent): RequestReading {
        val request = arriving ?: return RequestReading.Incomplete
        val size = request.body.size + content.content().readableBytes()
        if (size > listener.limits.maxBodyBytes) return bodyTooLarge()
        request.body.append(content.content())
        share.set(HeldFor.BODY, request.body.allocatedBytes)
        return when {
            isClosing() -> RequestReading.Incomplete
            content is LastHttpContent -> {
                arriving = null
                RequestReading.Complete(request.head, request.body.complete())
            }
            else -> {
                budget.pauseIfPressed(share)
                RequestReading.Incomplete
            }
        }
    }

    private fun bodyTooLarge() = RequestReading.Rejected(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "body too large"
    )

    /** Returns why the request that is arriving exceeds a time of [limits], null if it does not. */
    fun overdue(now: Instant, limits: CallerLimits, isSilent: Boolean): RequestReading.Rejected? {
        val isHeaderLate = headerStartedAt?.let { now - it > limits.headerTimeout } ?: false
        val body = arriving
        return when {
            isHeaderLate -> tooSlow("header too slow")
            body == null -> null
            isSilent -> tooSlow("body too slow")
            body.isTooSlow(now, limits.idleTimeout * RATE_GRACE_TIMEOUTS) ->
                tooSlow("body too slow", ShedCause.SLOW_SENDER)
            else -> null
        }
    }

    private fun tooSlow(detail: String, shed: ShedCause? = null) =
        RequestReading.Rejected(HttpResponseStatus.REQUEST_TIMEOUT, detail, shed)

    /** Records that this process stops or resumes reading. */
    fun onPaused(isPaused: Boolean, at: Instant) {
        if (isPaused) arriving?.pausedAt = at else arriving?.addPause(at)
    }

    /** Frees what has arrived of a request that is not passed on. */
    fun release() {
        arriving?.body?.release()
        arriving = null
        headerStartedAt = null
    }
}
