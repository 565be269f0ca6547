package org.shallotplank.core.agent

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.Step
import org.shallotplank.core.admission.AdmissionDecision
import org.shallotplank.core.admission.AdmissionStep
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.execution.Holder
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.execution.beginExecution
import org.shallotplank.core.execution.on
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.limit.on
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Stores the admission queue in [step] and carries out the decisions. */
internal fun AgentState.applyAdmission(step: AdmissionStep, context: AgentContext): AgentStep =
    step.effects.fold(AgentStep(copy(queue = step.state))) { done, decision ->
        done.then { it.applyDecision(decision, context) }
    }

private fun AgentState.applyDecision(
    decision: AdmissionDecision,
    context: AgentContext
): AgentStep {
    val id = AttemptId(decision.request.value)
    val attempt = attempts[id] ?: return Step(this)
    return when (decision) {
        is AdmissionDecision.Admit -> start(attempt, context)
        is AdmissionDecision.Queue -> logged(
            logRecord(
                LogEvent.ATTEMPT_QUEUED,
                "attempt" to id,
                "running" to queue.runningCount,
                "limit" to limit.concurrency
            )
        )
        is AdmissionDecision.Refuse -> refuse(
            attempt,
            Refusal(
                runState = RunState.NOT_RUN,
                reason = RefusalReason.OVERLOADED,
                retryAfterMillis = decision.retryAfter.inWholeMilliseconds,
                detail = "upstream ${self.instance}: ${decision.reason.name.lowercase()}"
            )
        )
    }
}

/** Starts an admitted attempt; a non-idempotent one writes its STARTED record first. */
private fun AgentState.start(attempt: AgentAttempt, context: AgentContext): AgentStep {
    val id = attempt.offer.attemptId
    newWorkRefusal()?.let { return refuseBeforeStart(id, it, context) }
    if (!attempt.isAtMostOnce) return run(attempt, context.now)
    val claiming = attempt.copy(phase = AttemptPhase.CLAIMING)
    val step = beginExecution(
        key = RecordKey.of(self.service, attempt.offer.customer, attempt.offer.idempotencyKey!!),
        attemptId = id,
        holder = Holder(self.instance, self.incarnation),
        digest = attempt.offer.digest,
        deadline = attempt.deadline,
        now = context.now
    )
    return copy(attempts = attempts.put(id, claiming))
        .applyExecution(id, step, context)
}

/** Sends the request of [attempt] to the upstream. */
internal fun AgentState.run(attempt: AgentAttempt, now: Instant): AgentStep {
    val id = attempt.offer.attemptId
    val running = attempt.copy(phase = AttemptPhase.RUNNING, startedAt = now)
    val log = logRecord(
        LogEvent.ATTEMPT_STARTED,
        "request" to attempt.offer.requestId,
        "attempt" to id,
        "running" to queue.runningCount,
        "limit" to limit.concurrency,
        "warmth" to limit.warmth
    )
    val started = limit.on(LimitEvent.Started, now)
    return Step(
        copy(attempts = attempts.put(id, running), limit = started),
        persistentListOf(AgentEffect.Log(log), AgentEffect.CallUpstream(attempt.offer))
    )
}

/** Releases the queue position or capacity of an attempt and admits waiting attempts. */
internal fun AgentState.releaseCapacity(id: AttemptId, context: AgentContext): AgentStep =
    applyAdmission(queue.release(id.queueId, context.now, context.random), context)

/** Applies [event] to the concurrency limit and resizes the queue if the limit changed. */
internal fun AgentState.onLimit(event: LimitEvent, context: AgentContext): AgentStep {
    val changed = limit.on(event, context.now)
    val known = copy(limit = changed)
    val isSame = changed.concurrency == limit.concurrency &&
        changed.limits.maxQueued == queue.maxQueued
    if (isSame) return Step(known)
    val log = logRecord(
        LogEvent.LIMIT_CHANGED,
        "from" to limit.concurrency,
        "to" to changed.concurrency,
        "warmth" to changed.warmth,
        "because" to event::class.simpleName
    )
    val resized = queue.resize(
        capacity = changed.concurrency,
        now = context.now,
        random = context.random,
        maxQueued = changed.limits.maxQueued
    )
    return known.logged(log).then { it.applyAdmission(resized, context) }
}
