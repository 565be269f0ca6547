package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Holds a request that came before the entry knows how to serve it.
 *
 * A process that starts has its configuration within a fraction of a second, while a refused caller
 * spends the one time that it may come back.
 */
internal fun GatewayState.holdUntilReady(
    request: GatewayRequest,
    context: GatewayContext
): GatewayStep {
    if (earlyRequests.size >= MAX_EARLY_REQUESTS) return refuseEarlyRequest(request, context)
    val record = logRecord(
        LogEvent.GATEWAY_QUEUED,
        "request" to request.id,
        "attempt_id" to request.attemptId,
        "reason" to GatewayRefusal.NOT_CONFIGURED,
        "waiting" to earlyRequests.size,
        "configuration" to routes?.version,
        "ready" to isReady
    )
    return copy(earlyRequests = earlyRequests.add(request)).logged(record)
}

internal fun GatewayState.onReadinessChanged(
    isReady: Boolean,
    context: GatewayContext
): GatewayStep {
    val since = if (isReady && !this.isReady) context.now else readySince
    return copy(isReady = isReady, readySince = since).releaseEarlyRequests(context)
}

/** Takes up the early requests, once they can be served. */
internal fun GatewayState.releaseEarlyRequests(context: GatewayContext): GatewayStep {
    if (earlyRequests.isEmpty() || !isReady || routes == null) return Step(this)
    val released = copy(earlyRequests = earlyRequests.clear())
    return earlyRequests.fold(GatewayStep(released)) { step, request ->
        step.then { it.onArrived(request, context) }
    }
}

/** Refuses the early requests that have waited for as long as they may. */
internal fun GatewayState.expireEarlyRequests(context: GatewayContext): GatewayStep {
    val expired = earlyRequests.filter { context.now - it.arrivedAt >= maxWait(it) }
    if (expired.isEmpty()) return Step(this)
    val kept = copy(earlyRequests = earlyRequests.removeAll(expired))
    return expired.fold(GatewayStep(kept)) { step, request ->
        step.then { it.refuseEarlyRequest(request, context) }
    }
}

private fun GatewayState.refuseEarlyRequest(
    request: GatewayRequest,
    context: GatewayContext
): GatewayStep = refuseUnknown(
    request,
    STATUS_UNAVAILABLE,
    GatewayRefusal.NOT_CONFIGURED,
    outageRetryAfter(context)
)

private fun maxWait(request: GatewayRequest): Duration =
    minOf(MAX_EARLY_WAIT, request.timeLeft?.times(START_WAIT_SHARE) ?: MAX_EARLY_WAIT)

/** A process reads its tables within 0.3 s of its start; twice that, with a loaded store. */
private val MAX_EARLY_WAIT = 600.milliseconds

/** Bounds the memory of requests that wait; a second of the arrivals of a busy entry. */
private const val MAX_EARLY_REQUESTS = 256
