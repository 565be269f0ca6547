package org.shallotplank.core.entry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.AttemptId
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Customer
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.QuarantineVerdict
import org.shallotplank.core.retry.RetryScope
import org.shallotplank.core.routing.PrefixFingerprint
import org.shallotplank.core.routing.RoutingDecision
import org.shallotplank.core.routing.RoutingRequest
import org.shallotplank.core.routing.chooseUpstream
import org.shallotplank.core.then

internal fun EntryState.onArrived(request: IncomingCall, context: EntryContext): EntryStep {
    val published = configuration?.takeIf { hasCaughtUp }
        ?: return refuseAtOnce(request.requestId, notConfigured())
    return callOf(request, published, context).fold(
        ifLeft = { reject(request, it) },
        ifRight = { call -> accept(call).then { it.admit(call, context) } }
    )
}

private fun EntryState.callOf(
    request: IncomingCall,
    published: Configuration,
    context: EntryContext
): Either<Rejection, Call> = either {
    val customer = ensureNotNull(customersByToken[request.tokenSha256]) {
        Rejection.UNAUTHORIZED
    }
    val service = ensureNotNull(published.service(request.service)) {
        Rejection.UNKNOWN_SERVICE
    }
    val path = request.path.substringBefore('?')
    val operation = ensureNotNull(service.operation(request.method, path)) {
        Rejection.UNKNOWN_OPERATION
    }
    ensure(operation.idempotent || request.idempotencyKey != null) {
        Rejection.IDEMPOTENCY_KEY_REQUIRED
    }
    Call(request, service, operation, customer, context.now + operation.deadline)
}

private fun EntryState.accept(call: Call): EntryStep {
    val scope = RetryScope(call.customer.name, call.service.name)
    return Step(
        copy(
            calls = calls.put(call.request.requestId, call),
            callsByCustomer = callsByCustomer.put(call.customer.name, openCalls(call) + 1),
            retryBudgets = retryBudgets.afterRequest(scope, call.service.limits.retryBudget)
        )
    )
}

private fun EntryState.openCalls(call: Call): Int = callsByCustomer[call.customer.name] ?: 0

private fun EntryState.admit(call: Call, context: EntryContext): EntryStep {
    val id = call.request.requestId
    val refusal = when {
        drainingSince != null -> draining()
        openCalls(call) > call.customer.maxConcurrency -> customerLimit(call.customer)
        isQuarantined(call, context) -> quarantined()
        else -> return choose(id, context)
    }
    return endRefused(id, refusal)
}

internal fun EntryState.isQuarantined(call: Call, context: EntryContext): Boolean =
    quarantine.verdict(call.fingerprint, context.now) == QuarantineVerdict.QUARANTINED

/** Chooses an upstream and offers it the next attempt; without one, ends the call. */
internal fun EntryState.choose(
    id: RequestId,
    context: EntryContext,
    lastRefusal: Refusal? = null
): EntryStep {
    val call = calls[id] ?: return Step(this)
    val decision = route(call, context)
    val chosen = decision.chosen
    if (chosen == null) {
        val refusal =
            lastRefusal ?: Refusal.notRun(RefusalReason.NO_UPSTREAM, "no upstream is usable")
        return logged(decisionLog(LogEvent.NO_UPSTREAM, call, decision))
            .then { it.endRefused(id, refusal) }
    }
    val attemptId = AttemptId("$id.${call.attemptsMade + 1}")
    val trying = call.copy(
        phase = CallPhase.Trying(attemptId, chosen, lastContactAt = context.now),
        attemptsMade = call.attemptsMade + 1
    )
    val offer = EntryEffect.Offer(chosen, trying.offer(attemptId, context))
    return logged(decisionLog(LogEvent.UPSTREAM_CHOSEN, trying, decision)).then {
        Step(it.put(trying).countOutstanding(chosen, change = 1), persistentListOf(offer))
    }
}

private fun EntryState.route(call: Call, context: EntryContext): RoutingDecision {
    val candidates = upstreams.values
        .filter { it.service == call.service.name && it.connected }
        .map { it.view.copy(draining = !mayTakeWork(it)) }
        .toPersistentList()
    val request = RoutingRequest(
        zone = self.zone,
        region = self.region,
        service = call.service.name,
        prefix = call.request.prefix?.let(::PrefixFingerprint),
        priority = call.operation.priority,
        excluded = call.excluded
    )
    return chooseUpstream(candidates, request, context.now, context.random)
}

private fun decisionLog(event: LogEvent, call: Call, decision: RoutingDecision) = logRecord(
    event,
    "request" to call.request.requestId,
    "caller_request" to call.request.callerRequestId,
    "service" to call.service.name,
    "operation" to call.operation.name,
    "customer" to call.customer.name,
    "attempt" to call.attemptsMade,
    "chosen" to decision.chosen,
    "candidates" to decision.considered.joinToString(",") {
        "${it.id}:${it.reason.name.lowercase()}:${"%.2f".format(it.score)}"
    }
)

private fun Call.offer(attemptId: AttemptId, context: EntryContext) = AttemptOffer(
    requestId = request.requestId,
    attemptId = attemptId,
    service = service.name,
    customer = customer.name,
    method = request.method,
    path = request.path,
    contentType = request.contentType,
    body = request.body,
    digest = request.digest,
    idempotencyKey = request.idempotencyKey.takeIf { isAtMostOnce },
    streamed = operation.streamed,
    priority = operation.priority,
    weight = customer.weight,
    remainingMillis = (deadline - context.now).inWholeMilliseconds.coerceAtLeast(0),
    lastEventId = progress.lastEventId,
    callerRequestId = request.callerRequestId
)

private fun EntryState.reject(request: IncomingCall, rejection: Rejection): EntryStep {
    val log = logRecord(
        LogEvent.CALL_REJECTED,
        "request" to request.requestId,
        "service" to request.service,
        "rejection" to rejection
    )
    val reject = EntryEffect.Reject(request.requestId, rejection)
    return Step(this, persistentListOf(EntryEffect.Log(log), reject))
}

private fun EntryState.refuseAtOnce(id: RequestId, refusal: Refusal): EntryStep =
    Step(this, persistentListOf(EntryEffect.Refuse(id, refusal)))

/**
 * The refusal of a request that arrives before the entry has caught up with the configuration.
 *
 * Its operation is unknown, so the entry cannot rule out that an earlier request with the same key
 * ran, and refuses with MAY_HAVE_RUN.
 */
private fun notConfigured() = Refusal.notRun(
    RefusalReason.NOT_CONFIGURED,
    "the entry instance has not caught up with the configuration; ask another one"
).copy(runState = RunState.MAY_HAVE_RUN)

private fun customerLimit(customer: Customer) = Refusal.notRun(
    RefusalReason.CUSTOMER_LIMIT,
    "customer ${customer.name} has ${customer.maxConcurrency} requests in flight here"
)

internal fun quarantined() = Refusal(
    runState = RunState.NOT_RUN,
    reason = RefusalReason.QUARANTINED,
    detail = "the request crashed the upstreams that ran it; do not send it again"
)
