package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Holds a request that arrived before the entry was ready to serve it.
 *
 * A starting entry has its configuration within a fraction of a second, while a refusal would use
 * up the caller's only retry. Refuses the request if [MAX_EARLY_REQUESTS] are already held.
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

/** Processes the held requests once the entry is ready and has a configuration. */
internal fun GatewayState.releaseEarlyRequests(context: GatewayContext): GatewayStep {
    if (earlyRequests.isEmpty() || !isReady || routes == null) return Step(this)
    val released = copy(earlyRequests = earlyRequests.clear())
    return earlyRequests.inOrderOfUrgency(routes).fold(GatewayStep(released)) { step, request ->
        step.then { it.onArrived(request, context) }
    }
}

/**
 * Puts the requests of services whose requests differ in priority in the order in which they should
 * start: by priority, then by the time that is left. The others stay in order of arrival.
 */
private fun List<GatewayRequest>.inOrderOfUrgency(table: RouteTable): List<GatewayRequest> {
    val (ordered, others) = partition { request ->
        val route = table.routeOf(request) ?: return@partition false
        route.targets.any { it.service in table.servicesOfSeveralPriorities }
    }
    return ordered.sortedWith(
        compareBy({ table.levelOf(it) }, { request -> latestEnd(request, table) })
    ) + others
}

private fun latestEnd(request: GatewayRequest, table: RouteTable): Instant {
    val timeout = table.routeOf(request)?.timeout ?: Duration.ZERO
    return request.arrivedAt + minOf(timeout, request.timeLeft ?: timeout)
}

private fun RouteTable.routeOf(request: GatewayRequest): Route? =
    match(request.host, request.path.substringBefore('?'))

private fun RouteTable.levelOf(request: GatewayRequest): Int {
    val route = routeOf(request) ?: return Int.MAX_VALUE
    val holder = request.credential?.let { customersByCredential[it] }
    return route.targets.minOf { priorityOf(route, holder, it.service).level }
}

/** Refuses the held requests that have reached their longest wait. */
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

/** Twice the 0.3 s in which a process reads its tables after its start, for a loaded store. */
private val MAX_EARLY_WAIT = 600.milliseconds

/** Bounds the memory of held requests; a busy entry receives about as many in one second. */
private const val MAX_EARLY_REQUESTS = 256
