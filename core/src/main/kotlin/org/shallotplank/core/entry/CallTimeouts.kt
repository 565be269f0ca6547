package org.shallotplank.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.then

internal fun EntryState.onCallTick(id: RequestId, context: EntryContext): EntryStep {
    val call = calls[id] ?: return Step(this)
    val phase = call.phase
    return when {
        context.now >= call.deadline -> endOverdue(call)
        phase is CallPhase.Waiting && context.now >= phase.until -> choose(id, context)
        phase is CallPhase.Trying && context.now - phase.lastContactAt >= call.idleTimeout() ->
            onIdleTimeout(call, phase, context)
        else -> Step(this)
    }
}

private fun EntryState.endOverdue(call: Call): EntryStep {
    val isTrying = call.phase is CallPhase.Trying
    val overdue = Refusal(
        runState = if (isTrying) RunState.MAY_HAVE_RUN else RunState.NOT_RUN,
        reason = RefusalReason.DEADLINE_EXCEEDED,
        detail = "the deadline of operation ${call.operation.name} passed"
    )
    val lookedUp = call.phase as? CallPhase.LookingUp
    val doubtful = lookedUp?.refusal?.copy(runState = RunState.MAY_HAVE_RUN)
    return endRefused(call.request.requestId, doubtful ?: overdue)
}

private fun Call.idleTimeout(): Duration = when {
    isAtMostOnce -> Duration.INFINITE
    operation.streamed -> STREAM_IDLE_TIMEOUT
    else -> operation.deadline / IDLE_TIMEOUT_DIVISOR
}

private fun EntryState.onIdleTimeout(
    call: Call,
    trying: CallPhase.Trying,
    context: EntryContext
): EntryStep {
    val silent = Refusal(
        runState = RunState.MAY_HAVE_RUN,
        reason = RefusalReason.UPSTREAM_LOST,
        detail = "nothing was heard for ${call.idleTimeout()}"
    )
    return cancelAttempt(call).then { it.onAttemptRefused(call, trying, silent, context) }
}

/** Divisor of an idempotent operation's deadline that gives the idle timeout of an attempt. */
private const val IDLE_TIMEOUT_DIVISOR = 3
private val STREAM_IDLE_TIMEOUT = 3.seconds
