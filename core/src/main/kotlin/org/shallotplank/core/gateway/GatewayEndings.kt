package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step
import org.shallotplank.core.admission.RefusalReason
import org.shallotplank.core.admission.reservedFrom
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Ends a call that no upstream answered completely.
 *
 * Only a request that has not run and never will is refused with a Retry-After. Any other gets a
 * status that says that its outcome is unknown, or a cut answer if its answer has begun.
 */
internal fun GatewayState.endWithoutAnswer(
    call: GatewayCall,
    reason: GatewayRefusal,
    context: GatewayContext
): GatewayStep {
    val ended = if (call.isAnswerBegun) {
        cut(call, reason)
    } else {
        val suggested = when (reason) {
            GatewayRefusal.QUARANTINED -> QUARANTINE_RETRY_AFTER
            GatewayRefusal.STOPPING -> Duration.ZERO
            else -> retryAfterFor(call, context)
        }
        val retryAfter = suggested.takeIf { !call.mayHaveRun }
        val isWaiting = queues[call.service]?.isWaiting(call.request.id) == true
        withOutageRefusal(call, context)
            .refuse(call, reason, retryAfter, isAdmitted = !isWaiting)
    }
    return ended.then { it.releaseSlot(call, context) }
}

/** Answers with a status of the entry's own and removes the call. */
internal fun GatewayState.refuse(
    call: GatewayCall,
    reason: GatewayRefusal,
    retryAfter: Duration?,
    isAdmitted: Boolean = false,
    cause: RefusalReason? = null
): GatewayStep {
    val queue = queues[call.service]
    val status = when {
        !call.mayHaveRun -> STATUS_UNAVAILABLE
        reason == GatewayRefusal.TIMED_OUT -> STATUS_GATEWAY_TIMEOUT
        else -> STATUS_BAD_GATEWAY
    }
    val record = logRecord(
        LogEvent.GATEWAY_REFUSED,
        "request" to call.request.id,
        "attempt_id" to call.request.attemptId,
        "service" to call.service,
        "customer" to call.customer,
        "route" to call.route.name,
        "status" to status,
        "reason" to reason,
        "cause" to cause,
        "priority" to call.priority,
        "may_have_run" to call.mayHaveRun,
        "attempts" to call.attemptsSent,
        "admitted" to isAdmitted,
        "retry_after_ms" to retryAfter?.inWholeMilliseconds,
        "capacity" to queue?.capacity,
        "reserved" to queue?.reservedFrom(call.admissionPriority),
        "running" to queue?.runningCount,
        "waiting" to queue?.waitingCount,
        "configuration" to routesInForce.version
    )
    val refuse = GatewayEffect.Refuse(call.request.id, status, reason, retryAfter)
    return Step(
        copy(calls = calls.remove(call.request.id)),
        persistentListOf(refuse, GatewayEffect.Log(record))
    )
}

private fun GatewayState.cut(call: GatewayCall, reason: GatewayRefusal): GatewayStep {
    val record = logRecord(
        LogEvent.GATEWAY_CUT,
        "request" to call.request.id,
        "attempt_id" to call.request.attemptId,
        "service" to call.service,
        "customer" to call.customer,
        "reason" to reason,
        "attempts" to call.attemptsSent
    )
    return Step(
        copy(calls = calls.remove(call.request.id)),
        persistentListOf(GatewayEffect.Cut(call.request.id), GatewayEffect.Log(record))
    )
}

/** Cancels the open attempt of a call, if it has one. */
internal fun GatewayState.cancelAttempt(call: GatewayCall): GatewayStep {
    val sent = call.phase as? GatewayPhase.Sent ?: return Step(this)
    return Step(
        update(sent.upstream) { it.ended() },
        persistentListOf(GatewayEffect.CancelAttempt(call.request.id, sent.attempt))
    )
}

/** Removes a call and releases its slot, so that a waiting request may be admitted. */
internal fun GatewayState.release(call: GatewayCall, context: GatewayContext): GatewayStep =
    copy(calls = calls.remove(call.request.id)).releaseSlot(call, context)

private fun GatewayState.releaseSlot(call: GatewayCall, context: GatewayContext): GatewayStep {
    val queue = queueOf(call.service, context)
    val released = queue.release(call.request.id, context.now, context.random)
    return applyAdmission(call.service, released, context)
}

/** Ends overdue calls and early requests, then admits or refuses waiting requests. */
internal fun GatewayState.onTick(context: GatewayContext): GatewayStep {
    val overdue = calls.values.filter { context.now >= it.deadline + slackOf(it) }
    val ended = overdue.fold(GatewayStep(this)) { step, call ->
        step.then { it.endOpen(call, GatewayRefusal.TIMED_OUT, context) }
    }
    return ended.then { it.endServiceIfDue(context) }
        .then { it.clearDeliveredParts(context) }
        .then { it.expireQuarantine(context.now) }
        .then { it.expireEarlyRequests(context) }
        .then { it.updateSlowLimits(context) }
        .then { it.moveSlowStreams(context) }
        .then { it.resizeQueues(context) }
}

private fun slackOf(call: GatewayCall): Duration =
    if (call.isCallersDeadline) CALLER_DEADLINE_SLACK else Duration.ZERO

/** Ends a call that may be queued or sent, because of [reason]. */
internal fun GatewayState.endOpen(
    call: GatewayCall,
    reason: GatewayRefusal,
    context: GatewayContext
): GatewayStep {
    val known = calls[call.request.id] ?: return Step(this)
    val isSent = known.phase is GatewayPhase.Sent
    val late = known.copy(mayHaveRun = known.mayHaveRun || isSent)
    return cancelAttempt(known).then {
        it.endWithoutAnswer(late, reason, context)
    }
}

/** Sets the capacity of each admission queue to what its upstreams can take now. */
internal fun GatewayState.resizeQueues(context: GatewayContext): GatewayStep =
    queues.keys.fold(GatewayStep(this)) { step, service ->
        step.then { state ->
            val queue = state.queues.getValue(service)
            val capacity = state.queueOf(service, context).capacity
            val isSettled = queue.capacity == capacity && queue.waitingCount == 0
            if (isSettled) {
                Step(state)
            } else {
                val resized = queue.resize(capacity, context.now, context.random)
                state.applyAdmission(service, resized, context)
            }
        }
    }

/** Time after the caller's own deadline by which the upstream should have stopped by itself. */
private val CALLER_DEADLINE_SLACK = 100.milliseconds
