package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.execution.ExecutionEvent
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Handles the cancellation of an attempt by its entry.
 *
 * A non-idempotent request that is running continues, so that its outcome is recorded; only the
 * replies to the entry stop.
 */
internal fun AgentState.cancel(id: AttemptId, context: AgentContext): AgentStep {
    val attempt = attempts[id] ?: return Step(this)
    val cancelled = Refusal.notRun(RefusalReason.CANCELLED, "cancelled by the entry")
    val isRunning = attempt.phase == AttemptPhase.RUNNING
    if (isRunning && attempt.isAtMostOnce) {
        return Step(copy(attempts = attempts.put(id, attempt.copy(connection = null))))
    }
    if (!isRunning) return refuseBeforeStart(id, cancelled, context)
    return Step(this, persistentListOf(AgentEffect.AbortUpstream(id)))
        .then { it.endRefused(id, cancelled, context) }
}

/**
 * Refuses an attempt that has not been sent to the upstream.
 *
 * If a STARTED record may have been written for it, the at-most-once protocol releases the record.
 */
internal fun AgentState.refuseBeforeStart(
    id: AttemptId,
    refusal: Refusal,
    context: AgentContext
): AgentStep {
    if (id !in executions) return endRefused(id, refusal, context)
    val log = logRecord(LogEvent.CLAIM_UNRESOLVED, "attempt" to id, "reason" to refusal.reason)
    return logged(log).then { it.onExecution(id, ExecutionEvent.Abandoned(refusal), context) }
}

/** Ends attempts whose deadline has passed. */
internal fun AgentState.endOverdue(context: AgentContext): AgentStep {
    val overdue = attempts.values.filter { it.deadline <= context.now }
    return overdue.fold(AgentStep(this)) { step, attempt ->
        step.then { it.endOverdue(attempt, context) }
    }
}

/**
 * Ends one attempt after its deadline.
 *
 * The entry gets a refusal at the deadline. A non-idempotent request that is running continues for
 * up to [RECORDING_GRACE], so that its outcome is recorded.
 */
private fun AgentState.endOverdue(attempt: AgentAttempt, context: AgentContext): AgentStep {
    val id = attempt.offer.attemptId
    if (attempt.phase != AttemptPhase.RUNNING) {
        val late = Refusal.notRun(
            RefusalReason.DEADLINE_EXCEEDED,
            "the deadline passed in the queue"
        )
        return refuseBeforeStart(id, late, context)
    }
    val late = Refusal(
        runState = RunState.MAY_HAVE_RUN,
        reason = RefusalReason.DEADLINE_EXCEEDED,
        detail = "the upstream did not answer before the deadline"
    )
    if (!attempt.isAtMostOnce) {
        return Step(this, persistentListOf(AgentEffect.AbortUpstream(id)))
            .then { it.endRefused(id, late, context) }
    }
    if (context.now < attempt.deadline + RECORDING_GRACE) {
        val left = attempt.copy(connection = null)
        return copy(attempts = attempts.put(id, left))
            .replyTo(attempt, AttemptReply.Refused(late))
    }
    return Step(this, persistentListOf(AgentEffect.AbortUpstream(id)))
        .then { it.onExecution(id, ExecutionEvent.UpstreamLost, context) }
        .then { it.endRefused(id, late, context) }
}

/** Refuses an offer that was not accepted. */
internal fun AgentStep.refuse(event: AgentEvent.Offered, refusal: Refusal): AgentStep = then {
    val offer = event.offer
    val reply = AgentEffect.Reply(
        event.connection,
        offer.requestId,
        offer.attemptId,
        AttemptReply.Refused(refusal)
    )
    Step(it, persistentListOf(refusalLog(offer.requestId, offer.attemptId, refusal), reply))
}

/** Refuses an attempt that holds no capacity of the upstream. */
internal fun AgentState.refuse(attempt: AgentAttempt, refusal: Refusal): AgentStep {
    val offer = attempt.offer
    return Step(
        copy(attempts = attempts.remove(offer.attemptId)),
        persistentListOf(refusalLog(offer.requestId, offer.attemptId, refusal))
    ).then { it.replyTo(attempt, AttemptReply.Refused(refusal)) }
}

private fun refusalLog(request: RequestId, attempt: AttemptId, refusal: Refusal): AgentEffect =
    AgentEffect.Log(
        logRecord(
            LogEvent.ATTEMPT_REFUSED,
            "request" to request,
            "attempt" to attempt,
            "reason" to refusal.reason,
            "run_state" to refusal.runState,
            "detail" to refusal.detail
        )
    )

/** Refuses an attempt that may be queued or running, and releases its capacity. */
internal fun AgentState.endRefused(
    id: AttemptId,
    refusal: Refusal,
    context: AgentContext
): AgentStep {
    val attempt = attempts[id] ?: return Step(this)
    val wasStarted = attempt.phase == AttemptPhase.RUNNING
    val failed = LimitEvent.Finished(
        firstToken = null,
        step = null,
        succeeded = refusal.reason !in UPSTREAM_FAULTS
    )
    return refuse(attempt, refusal).then {
        if (wasStarted) it.end(id, failed, context) else it.releaseCapacity(id, context)
    }
}

/** Removes an attempt that ran, updates the limit and admits waiting attempts. */
internal fun AgentState.end(
    id: AttemptId,
    finished: LimitEvent.Finished,
    context: AgentContext
): AgentStep = copy(attempts = attempts.remove(id))
    .onLimit(finished, context)
    .then { it.releaseCapacity(id, context) }

internal fun AgentState.logged(record: LogRecord): AgentStep =
    Step(this, persistentListOf(AgentEffect.Log(record)))

/** Reasons that the concurrency limit counts as failures of the upstream. */
private val UPSTREAM_FAULTS = setOf(
    RefusalReason.UPSTREAM_CRASHED,
    RefusalReason.UPSTREAM_UNREACHABLE,
    RefusalReason.DEADLINE_EXCEEDED
)

/** Time after its deadline within which a non-idempotent request can end and be recorded. */
private val RECORDING_GRACE: Duration = 30.seconds
