package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.Step
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.call.joined
import org.shallotplank.core.execution.ExecutionEvent
import org.shallotplank.core.execution.StoredAnswer
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

internal fun AgentState.onAnswerStarted(event: AgentEvent.AnswerStarted): AgentStep {
    val attempt = attempts[event.attemptId] ?: return Step(this)
    val begun = attempt.copy(head = event.head)
    return copy(attempts = attempts.put(event.attemptId, begun))
        .replyTo(begun, AttemptReply.Head(event.head))
}

internal fun AgentState.onAnswerContinued(
    event: AgentEvent.AnswerContinued,
    now: Instant
): AgentStep {
    val attempt = attempts[event.attemptId] ?: return Step(this)
    val grown = attempt.withChunk(event.payload, now)
    val chunk = AttemptReply.Chunk(attempt.chunkCount, event.eventId, event.payload)
    return copy(attempts = attempts.put(event.attemptId, grown)).replyTo(attempt, chunk)
}

private fun AgentAttempt.withChunk(payload: Payload, now: Instant): AgentAttempt {
    val counted = copy(
        firstChunkAt = firstChunkAt ?: now,
        lastChunkAt = now,
        chunkCount = chunkCount + 1
    )
    if (!isAtMostOnce) return counted
    return counted.copy(
        chunksToRecord =
        if (bytesToRecord > MAX_RECORDED_BYTES) chunksToRecord else chunksToRecord.add(payload),
        bytesToRecord = bytesToRecord + payload.sizeBytes
    )
}

internal fun AgentState.onAnswerEnded(id: AttemptId, context: AgentContext): AgentStep {
    val attempt = attempts[id] ?: return Step(this)
    val finished = LimitEvent.Finished(
        firstToken = attempt.firstChunkDelay.takeIf { attempt.offer.streamed },
        step = attempt.meanStep,
        succeeded = (attempt.head?.status ?: 0) < SERVER_ERROR
    )
    val log = logRecord(
        LogEvent.ATTEMPT_ENDED,
        "request" to attempt.offer.requestId,
        "attempt" to id,
        "status" to attempt.head?.status,
        "chunks" to attempt.chunkCount
    )
    return replyTo(attempt, AttemptReply.End(attempt.chunkCount))
        .then { it.logged(log) }
        .then { it.onExecution(id, ExecutionEvent.AnswerEnded(attempt.storedAnswer()), context) }
        .then { it.end(id, finished, context) }
}

private fun AgentAttempt.storedAnswer(): StoredAnswer {
    val body = if (bytesToRecord > MAX_RECORDED_BYTES) null else chunksToRecord.joined()
    return StoredAnswer.of(head ?: AnswerHead(status = 0), body)
}

internal fun AgentState.onUpstreamFailed(
    event: AgentEvent.UpstreamFailed,
    context: AgentContext
): AgentStep {
    if (event.attemptId !in attempts) return Step(this)
    val executionEvent = if (event.sent) ExecutionEvent.UpstreamLost else ExecutionEvent.NeverSent
    return onExecution(event.attemptId, executionEvent, context)
        .then { it.endRefused(event.attemptId, failure(event.sent), context) }
}

private fun failure(sent: Boolean): Refusal = when {
    sent -> Refusal(
        runState = RunState.MAY_HAVE_RUN,
        reason = RefusalReason.UPSTREAM_CRASHED,
        retryAfterMillis = FAILURE_RETRY_DELAY.inWholeMilliseconds,
        detail = "the upstream was lost before its answer was whole"
    )
    else -> Refusal(
        runState = RunState.NOT_RUN,
        reason = RefusalReason.UPSTREAM_UNREACHABLE,
        retryAfterMillis = FAILURE_RETRY_DELAY.inWholeMilliseconds,
        detail = "the upstream refused the connection"
    )
}

internal fun AgentState.replyTo(attempt: AgentAttempt, reply: AttemptReply): AgentStep {
    val connection = attempt.connection ?: return Step(this)
    val offer = attempt.offer
    return Step(
        this,
        persistentListOf(
            AgentEffect.Reply(connection, offer.requestId, offer.attemptId, reply)
        )
    )
}

private const val SERVER_ERROR = 500

/** Largest answer body that is stored in an execution record. */
private const val MAX_RECORDED_BYTES = 64 * 1024

private val FAILURE_RETRY_DELAY: Duration = 500.milliseconds
