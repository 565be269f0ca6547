package org.shallotplank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.call.joined
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Handles a reply to the request's open attempt; logs and ignores any other reply. */
internal fun EntryState.onReplied(event: EntryEvent.Replied, context: EntryContext): EntryStep {
    val call = calls[event.requestId]
    val trying = call?.phase as? CallPhase.Trying
    val isOpen = trying?.attemptId == event.attemptId && trying.upstream == event.from
    if (call == null || trying == null || !isOpen) return ignored(event)
    val updated = trying.copy(lastContactAt = context.now)
    return when (val reply = event.reply) {
        is AttemptReply.Head ->
            Step(put(call.copy(phase = updated.copy(head = reply.head))))
        is AttemptReply.Chunk -> onChunk(call, updated, reply, context)
        is AttemptReply.End -> onEnd(call, updated, reply, context)
        is AttemptReply.Refused -> onAttemptRefused(call, updated, reply.refusal, context)
    }
}

private fun EntryState.ignored(event: EntryEvent.Replied): EntryStep = logged(
    logRecord(
        LogEvent.REPLY_IGNORED,
        "request" to event.requestId,
        "attempt" to event.attemptId,
        "from" to event.from
    )
)

private fun EntryState.onChunk(
    call: Call,
    trying: CallPhase.Trying,
    chunk: AttemptReply.Chunk,
    context: EntryContext
): EntryStep {
    val head = trying.head
    if (head == null || chunk.sequence != trying.nextSequence) {
        return onBrokenAnswer(call, trying, "chunk ${chunk.sequence} out of order", context)
    }
    val advanced = call.copy(phase = trying.copy(nextSequence = trying.nextSequence + 1))
    if (!advanced.forwardsChunks(head)) return keep(advanced, chunk.payload)
    val last = call.progress.lastEventId
    return when {
        chunk.eventId == 0L -> forwardChunk(advanced, head, chunk)
        chunk.eventId <= last -> Step(put(advanced))
        chunk.eventId == last + 1 -> forwardChunk(advanced, head, chunk)
        else -> onBrokenAnswer(
            advanced,
            trying,
            "event ${chunk.eventId} came after event $last",
            context
        )
    }
}

/** Whether chunks are forwarded as they arrive; other answers are buffered until complete. */
private fun Call.forwardsChunks(head: AnswerHead): Boolean =
    operation.streamed && !isAtMostOnce && head.status == STATUS_OK

private fun EntryState.forwardChunk(
    call: Call,
    head: AnswerHead,
    chunk: AttemptReply.Chunk
): EntryStep {
    val id = call.request.requestId
    val begin: PersistentList<EntryEffect> = when {
        call.progress.begun -> persistentListOf()
        else -> persistentListOf(EntryEffect.AnswerBegin(id, head))
    }
    val progress = call.progress.copy(
        begun = true,
        lastEventId = maxOf(call.progress.lastEventId, chunk.eventId)
    )
    return Step(
        put(call.copy(progress = progress)),
        begin.add(EntryEffect.AnswerContinue(id, chunk.payload))
    )
}

private fun EntryState.keep(call: Call, payload: Payload): EntryStep {
    val progress = call.progress
    val grownBytes = progress.keptBytes + payload.sizeBytes
    if (grownBytes > self.maxAnswerBytes) {
        val tooLarge = Refusal(
            runState = RunState.RAN,
            reason = RefusalReason.ANSWER_TOO_LARGE,
            detail = "the answer is larger than ${self.maxAnswerBytes} bytes"
        )
        return endRefused(call.request.requestId, tooLarge)
    }
    val kept = progress.copy(kept = progress.kept.add(payload), keptBytes = grownBytes)
    return Step(put(call.copy(progress = kept)))
}

private fun EntryState.onEnd(
    call: Call,
    trying: CallPhase.Trying,
    end: AttemptReply.End,
    context: EntryContext
): EntryStep {
    val head = trying.head
    val isWhole = head != null && end.chunkCount == trying.nextSequence
    if (!isWhole) {
        return onBrokenAnswer(call, trying, "the answer ended before its end", context)
    }
    val isFault = head.status >= SERVER_ERROR && !call.isAtMostOnce
    if (isFault && !call.progress.begun) return onUpstreamError(call, trying, head, context)
    val id = call.request.requestId
    val answer = if (call.progress.begun) {
        EntryEffect.AnswerEnd(id)
    } else {
        EntryEffect.AnswerWhole(id, head, call.progress.kept.joined())
    }
    val log = logRecord(
        LogEvent.CALL_ANSWERED,
        "request" to id,
        "status" to head.status,
        "upstream" to trying.upstream,
        "attempts" to call.attemptsMade,
        "replayed" to head.replayed
    )
    return Step(
        copy(quarantine = quarantine.answered(call.fingerprint, context.now))
            .noteOutcome(trying.upstream, succeeded = true, context.now)
            .remove(call),
        persistentListOf(answer, EntryEffect.Log(log))
    )
}

private fun EntryState.onBrokenAnswer(
    call: Call,
    trying: CallPhase.Trying,
    detail: String,
    context: EntryContext
): EntryStep {
    val broken = Refusal(
        runState = RunState.MAY_HAVE_RUN,
        reason = RefusalReason.UPSTREAM_LOST,
        detail = detail
    )
    return cancelAttempt(call).then { it.onAttemptRefused(call, trying, broken, context) }
}

/** Treats a server error as a lost attempt, so that an idempotent request can be retried. */
private fun EntryState.onUpstreamError(
    call: Call,
    trying: CallPhase.Trying,
    head: AnswerHead,
    context: EntryContext
): EntryStep {
    val failed = Refusal(
        runState = RunState.MAY_HAVE_RUN,
        reason = RefusalReason.UPSTREAM_LOST,
        detail = "the upstream answered ${head.status}"
    )
    return onAttemptRefused(call, trying, failed, context)
}

private const val STATUS_OK = 200
private const val SERVER_ERROR = 500
