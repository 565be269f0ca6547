package org.shallotplank.gateway.upstream

import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.gateway.HeaderNames

/**
 * Returns what [upstream] announces about itself in the head of [response], null if nothing.
 *
 * A misdirected request was answered by another process, whose announcements say nothing about
 * [upstream].
 */
internal fun noticeOf(
    response: HttpResponse,
    upstream: UpstreamKey,
    headers: HeaderNames
): GatewayEvent.UpstreamNotice? {
    val status = response.status().code()
    if (status == MISDIRECTED) return null
    val isLeaving = response.headers().getAll(headers.leaving).any { it.trim() == LEAVING }
    val pause = response.headers().getAll(headers.pauseSeconds)
        .mapNotNull(::pauseOrNull)
        .maxOrNull()
        ?.takeIf { status == UNAVAILABLE }
    if (!isLeaving && pause == null) return null
    return GatewayEvent.UpstreamNotice(upstream, isLeaving, pause)
}

/**
 * Returns the requests per second that an upstream accepts according to the head of [response].
 *
 * The lowest one applies if several are named; null if none is, or no valid one.
 */
internal fun requestRateOf(response: HttpResponse, headers: HeaderNames): Double? =
    response.headers().getAll(headers.requestRate)
        .flatMap { it.split(',') }
        .mapNotNull { it.trim().toDoubleOrNull() }
        .filter { it.isFinite() && it >= 0.0 }
        .minOrNull()

/** Parses a pause in seconds, at most [MAX_PAUSE]; null if [value] is no positive number. */
internal fun pauseOrNull(value: String): Duration? = value.trim().toDoubleOrNull()
    ?.takeIf { it > 0.0 }
    ?.coerceAtMost(MAX_PAUSE.inWholeSeconds.toDouble())
    ?.seconds

/** Status with which a process refuses a request that was meant for another one. */
internal const val MISDIRECTED = 421

private const val LEAVING = "1"
private const val UNAVAILABLE = 503

/** Keeps sums of times representable; no upstream process is expected to run that long. */
private val MAX_PAUSE = 3650.days
