package org.shallotplank.core.entry

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Ends a call with a refusal, or by cutting the answer if its head was already sent.
 *
 * A refusal with NOT_RUN becomes MAY_HAVE_RUN if an earlier attempt may have run.
 */
internal fun EntryState.endRefused(id: RequestId, refusal: Refusal): EntryStep {
    val call = calls[id] ?: return Step(this)
    if (call.isUnverified(refusal)) return lookUp(call, refusal)
    val isDoubtful = call.mayHaveRun && refusal.runState == RunState.NOT_RUN
    val finalRefusal = if (isDoubtful) refusal.copy(runState = RunState.MAY_HAVE_RUN) else refusal
    return withdrawAttempt(call).then { it.finish(call, finalRefusal) }
}

private fun EntryState.finish(call: Call, refusal: Refusal): EntryStep {
    val id = call.request.requestId
    val isCut = call.progress.begun
    val log = logRecord(
        if (isCut) LogEvent.CALL_CUT else LogEvent.CALL_REFUSED,
        "request" to id,
        "customer" to call.customer.name,
        "reason" to refusal.reason,
        "run_state" to refusal.runState,
        "retry_after_ms" to refusal.retryAfterMillis,
        "attempts" to call.attemptsMade,
        "detail" to refusal.detail
    )
    val answer = if (isCut) {
        EntryEffect.AnswerCut(id, refusal)
    } else {
        EntryEffect.Refuse(id, refusal)
    }
    return Step(remove(call), persistentListOf(answer, EntryEffect.Log(log)))
}

/**
 * Whether [refusal] has NOT_RUN for a key that an earlier request may have used.
 *
 * The entry reads the table before it sends such a refusal, because callers retry a request with
 * the same key.
 */
private fun Call.isUnverified(refusal: Refusal): Boolean {
    val isClaim = refusal.runState == RunState.NOT_RUN && refusal.reason !in KEY_CHECKED
    return isAtMostOnce && isClaim && phase !is CallPhase.LookingUp
}

internal fun EntryState.onCallerLeft(id: RequestId): EntryStep {
    val call = calls[id] ?: return Step(this)
    val log = logRecord(LogEvent.CALLER_GONE, "request" to id)
    return withdrawAttempt(call).then { it.logged(log) }.map { it.remove(call) }
}

/** Cancels the open attempt of a call, if it has one, and counts it as ended. */
internal fun EntryState.withdrawAttempt(call: Call): EntryStep {
    val trying = call.phase as? CallPhase.Trying ?: return Step(this)
    return cancelAttempt(call).map { it.countOutstanding(trying.upstream, change = -1) }
}

internal fun EntryState.cancelAttempt(call: Call): EntryStep {
    val trying = call.phase as? CallPhase.Trying ?: return Step(this)
    val cancel = EntryEffect.Cancel(trying.upstream, call.request.requestId, trying.attemptId)
    return Step(this, persistentListOf(cancel))
}

/** Refusal reasons that imply that the key's record has already been read or written. */
private val KEY_CHECKED = setOf(RefusalReason.KEY_REUSED, RefusalReason.UPSTREAM_UNREACHABLE)
