package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.gateway.budget.HeldBody
import org.shallotplank.gateway.budget.MAX_BODY_TIME
import org.shallotplank.gateway.budget.isTooSlow
import org.shallotplank.gateway.http.CountedHeaders

/** A request whose body is arriving. */
internal class ArrivingRequest(
    val head: HttpRequest,
    allocator: ByteBufAllocator,
    announcedBytes: Long?,
    startedAt: Instant
) {
    val body = HeldBody(allocator, announcedBytes)

    /** When the body began to arrive, later by the time in which this process did not read. */
    var startedAt: Instant = startedAt
        private set

    /** When this process stopped reading, null if it reads. */
    var pausedAt: Instant? = null

    /** Ends a time in which this process did not read. */
    fun addPause(now: Instant) {
        pausedAt?.let { startedAt += now - it }
        pausedAt = null
    }

    /** Whether the body arrives too slowly after [grace], or for too long. */
    fun isTooSlow(now: Instant, grace: Duration): Boolean =
        now - startedAt > MAX_BODY_TIME || isTooSlow(now - startedAt, body.size.toLong(), grace)
}

/** Parts of the requests that a caller sent before it got the answer to an earlier one. */
internal class PendingParts {
    private val parts = ArrayDeque<HttpObject>()
    private var requests = 0

    /** Estimated memory of the parts. */
    var weightBytes = 0L
        private set

    val isEmpty: Boolean get() = parts.isEmpty()

    /** Whether no more is to be read from the caller until some parts are processed. */
    val isFull: Boolean get() = parts.size >= MAX_PARTS || weightBytes >= MAX_WEIGHT_BYTES

    /** Queues [part], or releases it and returns false if there are too many requests. */
    fun add(part: HttpObject): Boolean {
        if (part is HttpRequest && requests >= MAX_REQUESTS) {
            ReferenceCountUtil.release(part)
            return false
        }
        if (part is HttpRequest) requests++
        parts += part
        weightBytes += weightOf(part)
        return true
    }

    fun removeFirst(): HttpObject = parts.removeFirst().also {
        weightBytes -= weightOf(it)
        if (it is HttpRequest) requests--
    }

    /** Frees all parts. */
    fun release() {
        parts.forEach { ReferenceCountUtil.release(it) }
        parts.clear()
        requests = 0
        weightBytes = 0
    }

    private companion object {
        /** Number of parts at which reading from the caller pauses. */
        const val MAX_PARTS = 64

        /** Memory of the parts at which reading from the caller pauses. */
        const val MAX_WEIGHT_BYTES = 65_536L

        /** One read can bring a few hundred requests; those above this number are not run. */
        const val MAX_REQUESTS = 128
    }
}

/** Estimated memory of [part]. */
internal fun weightOf(part: HttpObject): Long {
    val head = if (part is HttpRequest) {
        HEAD_BYTES + part.uri().length + ((part.headers() as? CountedHeaders)?.weightBytes ?: 0)
    } else {
        0
    }
    val content = if (part is HttpContent) PART_BYTES + part.content().readableBytes() else 0
    return head + content
}

/** Objects of a head without fields. */
private const val HEAD_BYTES = 512L

/** Objects of a part of a body. */
private const val PART_BYTES = 128L
