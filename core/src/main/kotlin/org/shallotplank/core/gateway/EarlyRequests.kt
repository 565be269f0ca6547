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
internal fun GatewayState.holdEarly(request: GatewayRequest, context: GatewayContext): GatewayStep {
    if (early.size >= MAX_EARLY) return refuseEarly(request, context)
    val record = logRecord(
        LogEvent.GATEWAY_QUEUED,
        "request" to request.id,
        "attempt_id" to request.attemptId,
        "reason" to GatewayRefusal.NOT_CONFIGURED,
        "waiting" to early.size,
        "configuration" to routes?.version,
        "ready" to isReady
    )
    return copy(early = early.add(request)).logged(record)
}

internal fun GatewayState.onReadinessChanged(
    isReady: Boolean,
    context: GatewayContext
): GatewayStep {
    val since = if (isReady && !this.isReady) context.now else readySince
    return copy(isReady = isReady, readySince = since).releaseEarly(context)
}

/** Takes up the early requests, once they can be served. */
internal fun GatewayState.releaseEarly(context: GatewayContext): GatewayStep {
    if (early.isEmpty() || !isReady || routes == null) return Step(this)
    val released = copy(early = early.clear())
    return early.fold(GatewayStep(released)) { step, request ->
        step.then { it.onArrived(request, context) }
    }
}

/** Refuses the early requests that have waited for as long as they may. */
internal fun GatewayState.expireEarly(context: GatewayContext): GatewayStep {
    val expired = early.filter { context.now - it.arrivedAt >= longestWait(it) }
    if (expired.isEmpty()) return Step(this)
    val kept = copy(early = early.removeAll(expired))
    return expired.fold(GatewayStep(kept)) { step, request ->
        step.then { it.refuseEarly(request, context) }
    }
}

private fun GatewayState.refuseEarly(
    request: GatewayRequest,
    context: GatewayContext
): GatewayStep = refuseUnknown(
    request,
    STATUS_UNAVAILABLE,
    GatewayRefusal.NOT_CONFIGURED,
    outageReturn(context)
)

private fun longestWait(request: GatewayRequest): Duration =
    minOf(EARLY_WAIT, request.timeLeft?.times(START_WAIT_SHARE) ?: EARLY_WAIT)

/** A process reads its tables within 0.3 s of its start; twice that, with a loaded store. */
private val EARLY_WAIT = 600.milliseconds

/** Bounds the memory of requests that wait; a second of the arrivals of a busy entry. */
private const val MAX_EARLY = 256
