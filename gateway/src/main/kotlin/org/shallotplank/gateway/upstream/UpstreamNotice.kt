package org.shallotplank.gateway.upstream

import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.gateway.HeaderNames

/**
 * What [upstream] says of itself in the head of [response], null if it says nothing.
 *
 * A misdirected request was answered by another process, whose leaving says nothing of [upstream].
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

/** The pause that [value] states, null if it is no positive number of seconds. */
internal fun pauseOrNull(value: String): Duration? = value.trim().toDoubleOrNull()
    ?.takeIf { it > 0.0 }
    ?.coerceAtMost(MAX_PAUSE.inWholeSeconds.toDouble())
    ?.seconds

/** Status of a request that was meant for another process. */
internal const val MISDIRECTED = 421

private const val LEAVING = "1"
private const val UNAVAILABLE = 503

/** Keeps sums of times representable; no process of an upstream is expected to outlive it. */
private val MAX_PAUSE = 3650.days
