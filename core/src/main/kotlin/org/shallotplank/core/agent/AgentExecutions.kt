package org.shallotplank.core.agent

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.Step
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.execution.Execution
import org.shallotplank.core.execution.ExecutionEffect
import org.shallotplank.core.execution.ExecutionEvent
import org.shallotplank.core.execution.ExecutionPhase
import org.shallotplank.core.execution.StoredAnswer
import org.shallotplank.core.execution.on
import org.shallotplank.core.limit.on
import org.shallotplank.core.then

/** Applies [event] to the at-most-once protocol of an attempt, if it has one. */
internal fun AgentState.onExecution(
    id: AttemptId,
    event: ExecutionEvent,
    context: AgentContext
): AgentStep {
    val execution = executions[id] ?: return Step(this)
    return applyExecution(id, execution.on(event, context.now), context)
}

/** Stores the protocol state in [step], or removes an ended one, and applies the effects. */
internal fun AgentState.applyExecution(
    id: AttemptId,
    step: Step<Execution, ExecutionEffect>,
    context: AgentContext
): AgentStep {
    val isEnded = step.state.phase == ExecutionPhase.Ended
    val unfinished = if (isEnded) executions.remove(id) else executions.put(id, step.state)
    return step.effects.fold(AgentStep(copy(executions = unfinished))) { done, effect ->
        done.then { it.applyExecutionEffect(id, effect, context) }
    }
}

private fun AgentState.applyExecutionEffect(
    id: AttemptId,
    effect: ExecutionEffect,
    context: AgentContext
): AgentStep = when (effect) {
    is ExecutionEffect.Write -> Step(
        this,
        persistentListOf(
            AgentEffect.WriteRecord(id, effect.key, effect.expectedVersion, effect.record)
        )
    )
    is ExecutionEffect.Read ->
        Step(this, persistentListOf(AgentEffect.ReadRecord(id, effect.key)))
    ExecutionEffect.Run -> attempts[id]?.let { run(it, context.now) } ?: Step(this)
    is ExecutionEffect.Replay -> replay(id, effect.answer, context)
    is ExecutionEffect.Refuse -> endRefused(id, effect.refusal, context)
}

/** Ends an attempt with the recorded [answer] to an earlier attempt at the same request. */
private fun AgentState.replay(
    id: AttemptId,
    answer: StoredAnswer,
    context: AgentContext
): AgentStep {
    val attempt = attempts[id] ?: return Step(this)
    return replyTo(attempt, AttemptReply.Head(answer.replayedHead))
        .then { it.replyTo(attempt, AttemptReply.Chunk(sequence = 0, payload = answer.body)) }
        .then { it.replyTo(attempt, AttemptReply.End(chunkCount = 1)) }
        .then { it.copy(attempts = it.attempts.remove(id)).releaseCapacity(id, context) }
}
