package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.Step
import org.shallotplank.core.admission.AdmissionRequest
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

internal fun GatewayState.onArrived(request: GatewayRequest, context: GatewayContext): GatewayStep {
    val table = routes?.takeIf { isReady } ?: return holdUntilReady(request, context)
    val route = table.match(request.host, request.path.substringBefore('?'))
        ?: return refuseUnknown(request, STATUS_NOT_FOUND, GatewayRefusal.NO_ROUTE)
    val holder = request.credential?.let { table.customersByCredential[it] }
    if (!table.admits(route, holder)) {
        return refuseUnknown(request, STATUS_UNAUTHORIZED, GatewayRefusal.UNAUTHORIZED)
    }
    val service = drawService(route, context)
    val call = callOf(request, route, service, holder, table.priorityOf(route, holder, service))
    val counted = copy(
        retries = retries.put(service, retriesOf(service).afterRequest(context.now))
    )
    return counted.put(call).admit(call, context)
}

/** The call of [request] by the customer of [holder], before its admission. */
internal fun callOf(
    request: GatewayRequest,
    route: Route,
    service: ServiceName,
    holder: CredentialHolder?,
    priority: RequestPriority
): GatewayCall {
    val callerTimeLeft = request.timeLeft
    val isCallersDeadline = callerTimeLeft != null && callerTimeLeft < route.timeout
    return GatewayCall(
        request = request,
        route = route,
        service = service,
        customer = holder?.customer,
        priority = priority.level,
        admissionPriority = priority.admission,
        deadline = request.arrivedAt + (if (isCallersDeadline) callerTimeLeft else route.timeout),
        isCallersDeadline = isCallersDeadline
    )
}

/**
 * Whether a request to [host] and [path] with [credential] is refused whatever its body is.
 *
 * Its body need not be read. While no configuration is known, no request is.
 */
public fun GatewayState.isRefusedBeforeBody(
    host: String,
    path: String,
    credential: String?
): Boolean {
    val table = routes?.takeIf { isReady } ?: return false
    val route = table.match(host, path.substringBefore('?')) ?: return true
    return !table.admits(route, credential?.let { table.customersByCredential[it] })
}

internal fun RouteTable.admits(route: Route, holder: CredentialHolder?): Boolean =
    !requiresCredentials || route.isOpen || holder != null

/** Targets that receive requests: those with a weight, or all if none has one. */
private val Route.weightedTargets: List<RouteTarget>
    get() = targets.filter { it.weight > 0 }.ifEmpty { targets }

/** Targets of [route] among which one is drawn: those with a usable upstream, or else all. */
internal fun GatewayState.targetsToDraw(route: Route, context: GatewayContext): List<RouteTarget> {
    val weighted = route.weightedTargets
    if (weighted.size == 1) return weighted
    return weighted.filter { target -> hasUsableUpstream(target.service, context) }
        .ifEmpty { weighted }
}

/** Draws a target of [route] by weight. */
private fun GatewayState.drawService(route: Route, context: GatewayContext): ServiceName {
    val targets = targetsToDraw(route, context)
    if (route.weightedTargets.size == 1) return targets.single().service
    var drawn = context.random.nextInt(targets.sumOf { it.weight }.coerceAtLeast(1))
    for (target in targets) {
        drawn -= target.weight
        if (drawn < 0) return target.service
    }
    return targets.last().service
}

internal fun GatewayState.hasUsableUpstream(
    service: ServiceName,
    context: GatewayContext
): Boolean = upstreamsOf(service).any { isInService(it) && it.isUsable(context.now) }

private fun GatewayState.admit(call: GatewayCall, context: GatewayContext): GatewayStep {
    when (val reason = refusalOnArrival(call, context)) {
        null -> Unit
        GatewayRefusal.QUARANTINED -> return refuse(call, reason, QUARANTINE_RETRY_AFTER)
        GatewayRefusal.STOPPING -> return refuse(call, reason, retryAfter = Duration.ZERO)
        else -> {
            val counted = withOutageRefusal(call, context)
            return counted.refuse(call, reason, counted.retryAfterFor(call, context))
        }
    }
    val request = admissionRequest(call, context)
    val queue = queueOf(call.service, context)
    return applyAdmission(call.service, queue.offer(request, context.now, context.random), context)
}

/** Why [call] is refused without being offered to the admission queue; null if it is not. */
internal fun GatewayState.refusalOnArrival(
    call: GatewayCall,
    context: GatewayContext
): GatewayRefusal? = when {
    isQuarantined(call, context.now) -> GatewayRefusal.QUARANTINED
    mayOutlastService(call, context) -> GatewayRefusal.STOPPING
    else -> reasonNotToWait(call, startBy(call, context), context)
}

/** What the admission queue of its service is offered for [call]. */
internal fun GatewayState.admissionRequest(
    call: GatewayCall,
    context: GatewayContext
): AdmissionRequest = AdmissionRequest(
    id = call.request.id,
    customer = call.customer ?: ANONYMOUS,
    startBy = startBy(call, context),
    priority = call.admissionPriority
)

/** Why no upstream can take [call] by [startBy], null if one may. */
private fun GatewayState.reasonNotToWait(
    call: GatewayCall,
    startBy: Instant,
    context: GatewayContext
): GatewayRefusal? {
    if (hasUsableUpstream(call.service, context)) return null
    val firstPauseEndsAt = firstPauseEndsAt(call.service, context)
        ?: return GatewayRefusal.NO_UPSTREAM
    return GatewayRefusal.UPSTREAMS_PAUSED.takeIf { firstPauseEndsAt > startBy }
}

/** Latest time at which starting [call] is still useful to its caller. */
internal fun GatewayState.startBy(call: GatewayCall, context: GatewayContext): Instant =
    minOf(call.deadline, call.request.arrivedAt + maxWait(call, context))

/**
 * Longest time that [call] may wait and still be useful to its caller.
 *
 * The limit is higher within [RECOVERY_TIME] after the entry became ready: most callers at that
 * time have been refused or disconnected before and do not retry again.
 */
private fun GatewayState.maxWait(call: GatewayCall, context: GatewayContext): Duration {
    val usual = settings.policies.maxWait(call)
    if (context.now - readySince >= RECOVERY_TIME) return usual
    return maxOf(usual, (call.deadline - call.request.arrivedAt) * START_WAIT_SHARE)
}

/** Longest wait of a call while entries and upstreams are in service. */
internal fun usualMaxWait(call: GatewayCall): Duration {
    val isStream = call.route.kind == RequestKind.STREAM
    return call.route.goal * (if (isStream) STREAM_WAIT_SHARE else PLAIN_WAIT_SHARE)
}

internal fun GatewayState.refuseUnknown(
    request: GatewayRequest,
    status: Int,
    reason: GatewayRefusal,
    retryAfter: Duration? = null
): GatewayStep {
    val record = logRecord(
        LogEvent.GATEWAY_REJECTED,
        "request" to request.id,
        "attempt_id" to request.attemptId,
        "host" to request.host,
        "path" to request.path,
        "status" to status,
        "reason" to reason,
        "configuration" to routes?.version,
        "ready" to isReady
    )
    val refuse = GatewayEffect.Refuse(request.id, status, reason, retryAfter)
    return Step(this, persistentListOf(refuse, GatewayEffect.Log(record)))
}

internal fun GatewayState.onCallerLeft(id: RequestId, context: GatewayContext): GatewayStep {
    val call =
        calls[id] ?: return Step(copy(earlyRequests = earlyRequests.removeAll { it.id == id }))
    val record = logRecord(
        LogEvent.GATEWAY_CALLER_LEFT,
        "request" to id,
        "attempt_id" to call.request.attemptId,
        "service" to call.service,
        "attempts" to call.attemptsSent,
        "begun" to call.isAnswerBegun,
        "age_ms" to (context.now - call.request.arrivedAt).inWholeMilliseconds
    )
    return cancelAttempt(call).then { it.logged(record) }.then { it.release(call, context) }
}

internal const val STATUS_UNAUTHORIZED = 401
internal const val STATUS_NOT_FOUND = 404
internal const val STATUS_BAD_GATEWAY = 502
internal const val STATUS_UNAVAILABLE = 503
internal const val STATUS_GATEWAY_TIMEOUT = 504

/** Customer of requests without a known credential, for example on open routes. */
internal val ANONYMOUS = CustomerName("-")

/**
 * Share of the route's goal that a stream may wait; the rest is for processing the prompt and the
 * first engine iteration.
 */
private const val STREAM_WAIT_SHARE = 0.7

/**
 * Multiple of the route's goal that a request other than a stream may wait; its answer keeps most
 * of its value for some time after the goal.
 */
private const val PLAIN_WAIT_SHARE = 1.5

/** Entries and groups that start together reach full service after about this time. */
private val RECOVERY_TIME = 2.seconds

/**
 * Share of a request's total time that it may wait while entries or upstreams start. The wait is
 * shorter than the delay before a caller's retry.
 */
internal const val START_WAIT_SHARE = 0.25
