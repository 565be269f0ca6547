package org.shallotplank.core.entry

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.execution.ExecutionEffect
import org.shallotplank.core.execution.ExecutionRecord
import org.shallotplank.core.execution.ExecutionState
import org.shallotplank.core.execution.ReadOutcome
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.execution.StoredAnswer
import org.shallotplank.core.execution.repeatOutcome
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Reads the record of the request's key before the entry answers NOT_RUN. */
internal fun EntryState.lookUp(call: Call, refusal: Refusal): EntryStep {
    val idempotencyKey = call.request.idempotencyKey ?: return Step(this)
    val key = RecordKey.of(call.service.name, call.customer.name, idempotencyKey)
    return withdrawAttempt(call).then {
        Step(
            it.put(call.copy(phase = CallPhase.LookingUp(refusal))),
            persistentListOf(EntryEffect.LookUp(call.request.requestId, key))
        )
    }
}

internal fun EntryState.onLookedUp(event: EntryEvent.LookedUp, context: EntryContext): EntryStep {
    val call = calls[event.requestId] ?: return Step(this)
    val phase = call.phase as? CallPhase.LookingUp ?: return Step(this)
    return when (val outcome = event.outcome) {
        is ReadOutcome.Found -> onRecord(call, phase.refusal, outcome.record, context)
        ReadOutcome.Unavailable ->
            endRefused(event.requestId, phase.refusal.inDoubt())
    }
}

private fun EntryState.onRecord(
    call: Call,
    refusal: Refusal,
    record: ExecutionRecord?,
    context: EntryContext
): EntryStep {
    val id = call.request.requestId
    val wasNotRun = record == null || record.state == ExecutionState.RELEASED
    if (wasNotRun) return endRefused(id, refusal)
    return when (val effect = record.repeatOutcome(call.request.digest, context.now)) {
        is ExecutionEffect.Replay -> replay(call, effect.answer)
        is ExecutionEffect.Refuse -> endRefused(id, effect.refusal)
        else -> Step(this)
    }
}

private fun Refusal.inDoubt(): Refusal = Refusal(
    runState = RunState.MAY_HAVE_RUN,
    reason = RefusalReason.TABLE_UNAVAILABLE,
    retryAfterMillis = maxOf(retryAfterMillis, TABLE_RETRY.inWholeMilliseconds),
    detail = "this request was not run ($detail); whether an earlier one with the same " +
        "idempotency key was run cannot be told while the table service is out"
)

private fun EntryState.replay(call: Call, answer: StoredAnswer): EntryStep {
    val log = logRecord(
        LogEvent.CALL_ANSWERED,
        "request" to call.request.requestId,
        "status" to answer.head.status,
        "replayed" to true
    )
    return Step(
        remove(call),
        persistentListOf(
            EntryEffect.AnswerWhole(
                call.request.requestId,
                answer.replayedHead,
                answer.body
            ),
            EntryEffect.Log(log)
        )
    )
}

private val TABLE_RETRY = 2.seconds
