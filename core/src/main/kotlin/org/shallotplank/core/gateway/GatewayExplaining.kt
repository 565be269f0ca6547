package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.time.Instant
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.admission.AdmissionDecision
import org.shallotplank.core.admission.reservedFrom

/**
 * What this entry would do with the request of [question] if it arrived at [now].
 *
 * The same functions decide on requests that arrive. The state is not changed, and no number is
 * drawn from the entry's source of randomness. Whether the content of the request crashed
 * upstreams before is not considered, since only its size and the parts of its prompt are known.
 *
 * @param maxServices highest number of the route's services that are explained, drawn ones first.
 */
public fun GatewayState.explain(
    question: RequestQuestion,
    now: Instant,
    maxServices: Int = Int.MAX_VALUE
): RequestExplanation {
    val table = routes
    val route = table?.match(question.host, question.path.substringBefore('?'))
    val holder = question.customer?.let { table?.holderOf(it) }
    val refusal = when {
        table == null -> GatewayRefusal.NOT_CONFIGURED
        route == null -> GatewayRefusal.NO_ROUTE
        !table.admits(route, holder) -> GatewayRefusal.UNAUTHORIZED
        else -> null
    }
    // Only delays before retries, which are not part of the answer, are drawn from this.
    val context = GatewayContext(now, Random(0))
    val services = if (table == null || route == null || refusal != null) {
        emptyList()
    } else {
        val drawn = targetsToDraw(route, context)
        route.targets.sortedBy { it !in drawn }.take(maxServices).map { target ->
            val priority = table.priorityOf(route, holder.with(question.priority), target.service)
            val call = callOf(question.requestAt(now), route, target.service, holder, priority)
            explain(target, target in drawn, withExpectedCost(call), context)
        }
    }
    return RequestExplanation(isReady && !isStopping, table?.version, route, refusal, services)
}

private fun RouteTable.holderOf(customer: CustomerName): CredentialHolder? =
    customersByCredential.values.firstOrNull { it.customer == customer }

/** This holder with [priority] in place of its own; null changes nothing. */
private fun CredentialHolder?.with(priority: Int?): CredentialHolder? = when {
    priority == null -> this
    this == null -> CredentialHolder(ANONYMOUS, priority)
    else -> copy(priority = priority)
}

private fun RequestQuestion.requestAt(now: Instant) = GatewayRequest(
    id = QUESTION_ID,
    attemptId = null,
    host = host,
    path = path,
    credential = null,
    timeLeft = timeLeft,
    bodySha256 = "",
    arrivedAt = now,
    sharedParts = sharedParts,
    size = size
)

private fun GatewayState.explain(
    target: RouteTarget,
    isDrawn: Boolean,
    call: GatewayCall,
    context: GatewayContext
) = ServiceExplanation(
    target = target,
    isDrawn = isDrawn,
    priority = call.priority,
    admission = explainAdmission(call, target.service, context),
    cost = call.cost,
    isByWork = usesWork(target.service),
    choice = upstreamChoice(call, context)
)

/** Offers [call] to a copy of the queue of [service]. */
private fun GatewayState.explainAdmission(
    call: GatewayCall,
    service: ServiceName,
    context: GatewayContext
): AdmissionExplanation {
    val queue = queueOf(service, context)
    val request = admissionRequest(call, context)
    val early = refusalOnArrival(call, context)
    val decision = if (early != null) {
        null
    } else {
        queue.offer(request, context.now, context.random).effects
            .firstOrNull { it.request == request.id }
    }
    val refused = decision as? AdmissionDecision.Refuse
    return AdmissionExplanation(
        outcome = when {
            early != null || refused != null -> AdmissionOutcome.REFUSED
            decision is AdmissionDecision.Admit -> AdmissionOutcome.ADMITTED
            else -> AdmissionOutcome.QUEUED
        },
        refusal = early ?: refused?.let { GatewayRefusal.OVERLOADED },
        refusedBy = refused?.reason,
        capacity = queue.capacity,
        running = queue.runningCount,
        waiting = queue.waitingCount,
        reserved = queue.reservedFrom(call.admissionPriority),
        expectedWait = queue.expectedWait(request),
        longestWait = request.startBy - context.now
    )
}

/** Differs from the ids of requests, which hold the entry's name and a number. */
private val QUESTION_ID = RequestId("question")
