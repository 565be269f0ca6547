package org.shallotplank.core.entry

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.retry.RetryScope
import org.shallotplank.core.then

internal fun EntryState.onAgentLost(id: RequestId, context: EntryContext): EntryStep {
    val call = calls[id] ?: return Step(this)
    val trying = call.phase as? CallPhase.Trying ?: return Step(this)
    return onAttemptRefused(call, trying, agentLost(), context)
}

private fun agentLost() = Refusal(
    runState = RunState.MAY_HAVE_RUN,
    reason = RefusalReason.UPSTREAM_LOST,
    retryAfterMillis = LOST_RETRY.inWholeMilliseconds,
    detail = "the connection to the agent was lost"
)

internal fun EntryState.onOfferUnsent(
    event: EntryEvent.OfferUnsent,
    context: EntryContext
): EntryStep {
    val call = calls[event.requestId] ?: return Step(this)
    val trying = call.phase as? CallPhase.Trying ?: return Step(this)
    if (trying.attemptId != event.attemptId) return Step(this)
    val unsent = Refusal.notRun(RefusalReason.NO_UPSTREAM, "no connection to the agent")
    return onAttemptRefused(call, trying, unsent, context)
}

/** Retries or ends a call after an attempt that ended without a complete answer. */
internal fun EntryState.onAttemptRefused(
    call: Call,
    trying: CallPhase.Trying,
    refusal: Refusal,
    context: EntryContext
): EntryStep {
    val id = call.request.requestId
    val isLost = refusal.reason == RefusalReason.UPSTREAM_LOST
    val failed = call.copy(
        phase = CallPhase.Choosing,
        excluded = call.excluded.add(trying.upstream),
        mayHaveRun = call.mayHaveRun || refusal.runState != RunState.NOT_RUN,
        lostAt = call.lostAt ?: context.now.takeIf { isLost && call.isAtMostOnce },
        progress = call.progress.copy(kept = persistentListOf(), keptBytes = 0)
    )
    val log = logRecord(
        LogEvent.ATTEMPT_FAILED,
        "request" to id,
        "attempt" to trying.attemptId,
        "upstream" to trying.upstream,
        "reason" to refusal.reason,
        "detail" to refusal.detail
    )
    return put(failed)
        .noteRefusal(trying.upstream, refusal, context.now)
        .logged(log)
        .then { it.noteCrash(failed, trying, refusal, context) }
        .then { it.retryOrEnd(failed, refusal, context) }
}

private fun EntryState.noteCrash(
    call: Call,
    trying: CallPhase.Trying,
    refusal: Refusal,
    context: EntryContext
): EntryStep {
    if (refusal.reason != RefusalReason.UPSTREAM_CRASHED) return Step(this)
    val noted = quarantine.crashed(call.fingerprint, trying.attemptId, context.now)
    val record = noted.records.getValue(call.fingerprint)
    return Step(copy(quarantine = noted), persistentListOf(EntryEffect.ShareCrash(record)))
}

private fun EntryState.retryOrEnd(call: Call, refusal: Refusal, context: EntryContext): EntryStep {
    val id = call.request.requestId
    return when {
        context.now >= call.deadline -> endRefused(id, refusal)
        isQuarantined(call, context) -> endQuarantined(call)
        call.isAtMostOnce -> retryNonIdempotent(call, refusal, context)
        call.progress.begun && !call.service.stop.resumable -> endRefused(id, refusal)
        refusal.runState == RunState.NOT_RUN -> retryElsewhere(call, refusal, context)
        else -> retryWithinBudget(call, refusal, context)
    }
}

private fun EntryState.endQuarantined(call: Call): EntryStep {
    val log = logRecord(
        LogEvent.REQUEST_QUARANTINED,
        "request" to call.request.requestId,
        "customer" to call.customer.name
    )
    val refusal = quarantined().copy(runState = RunState.MAY_HAVE_RUN)
    return logged(log).then { it.endRefused(call.request.requestId, refusal) }
}

/**
 * Retries a non-idempotent request where the at-most-once protocol excludes a second execution.
 *
 * After an attempt was lost, the entry offers the request again with the same key, and the agent
 * reads from the record in the table whether it ran. The entry polls in this way for at most
 * [RECORD_POLL_TIME].
 */
private fun EntryState.retryNonIdempotent(
    call: Call,
    refusal: Refusal,
    context: EntryContext
): EntryStep {
    val id = call.request.requestId
    val lostAt = call.lostAt
    val isPolling = lostAt != null && context.now - lostAt < RECORD_POLL_TIME
    val isOpen = refusal.reason == RefusalReason.UPSTREAM_LOST ||
        refusal.reason == RefusalReason.STILL_RUNNING
    return when {
        isPolling && isOpen -> Step(
            put(
                call.copy(
                    phase = CallPhase.Waiting(context.now + RECORD_POLL_INTERVAL),
                    excluded = call.excluded.clear()
                )
            )
        )
        refusal.runState == RunState.NOT_RUN && refusal.reason in RETRIED_ELSEWHERE ->
            retryElsewhere(call, refusal, context)
        else -> endRefused(id, refusal)
    }
}

private fun EntryState.retryElsewhere(
    call: Call,
    refusal: Refusal,
    context: EntryContext
): EntryStep {
    val id = call.request.requestId
    val mayTry = call.attemptsMade < MAX_ATTEMPTS && refusal.reason in RETRIED_ELSEWHERE
    if (!mayTry) return endRefused(id, refusal)
    return choose(id, context, lastRefusal = refusal)
}

private fun EntryState.retryWithinBudget(
    call: Call,
    refusal: Refusal,
    context: EntryContext
): EntryStep {
    val id = call.request.requestId
    if (call.attemptsMade >= MAX_ATTEMPTS) return endRefused(id, refusal)
    val scope = RetryScope(call.customer.name, call.service.name)
    val budgets = retryBudgets.afterRetry(scope, call.service.limits.retryBudget)
        ?: return endRefused(id, refusal.copy(reason = RefusalReason.RETRY_BUDGET))
    return copy(retryBudgets = budgets).choose(id, context, lastRefusal = refusal)
}

private val RETRIED_ELSEWHERE = setOf(
    RefusalReason.OVERLOADED,
    RefusalReason.DRAINING,
    RefusalReason.ZONE_OUT_OF_SERVICE,
    RefusalReason.NOT_CONFIGURED,
    RefusalReason.UPSTREAM_UNREACHABLE,
    RefusalReason.NO_UPSTREAM,
    RefusalReason.CANCELLED
)

private const val MAX_ATTEMPTS = 3
private val LOST_RETRY = 500.milliseconds
private val RECORD_POLL_INTERVAL = 250.milliseconds
private val RECORD_POLL_TIME = 3.seconds
