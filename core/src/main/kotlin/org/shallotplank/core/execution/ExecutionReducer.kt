package org.shallotplank.core.execution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.Step
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState

private typealias ExecutionStep = Step<Execution, ExecutionEffect>

/** Begins an attempt with a claim on [key]. */
public fun beginExecution(
    key: RecordKey,
    attemptId: AttemptId,
    holder: Holder,
    digest: String,
    deadline: Instant,
    now: Instant
): Step<Execution, ExecutionEffect> {
    val phase = ExecutionPhase.Claiming(expectedVersion = 0, startedAt = now)
    return Execution(key, attemptId, holder, digest, deadline, phase).claim(0, now)
}

/** Reduces one event. Events that do not fit the phase, such as late answers, change nothing. */
public fun Execution.on(event: ExecutionEvent, now: Instant): Step<Execution, ExecutionEffect> =
    when (event) {
        is ExecutionEvent.WriteEnded -> onWriteEnded(event.state, event.outcome, now)
        is ExecutionEvent.ReadEnded -> onReadEnded(event.outcome, now)
        is ExecutionEvent.AnswerEnded -> onAnswer(event.answer, now)
        ExecutionEvent.NeverSent -> onNeverSent(now)
        ExecutionEvent.UpstreamLost -> onUpstreamLost(now)
        is ExecutionEvent.Abandoned -> onAbandoned(event.refusal)
        ExecutionEvent.Tick -> onTick(now)
    }

private fun Execution.onWriteEnded(
    state: ExecutionState,
    outcome: WriteOutcome,
    now: Instant
): ExecutionStep = when (phase) {
    is ExecutionPhase.Claiming ->
        if (state == ExecutionState.STARTED) onClaimEnded(phase, outcome, now) else Step(this)
    is ExecutionPhase.Recording -> onRecordingEnded(outcome)
    is ExecutionPhase.Releasing -> onReleaseEnded(phase, state, outcome, now)
    else -> Step(this)
}

private fun Execution.onClaimEnded(
    claim: ExecutionPhase.Claiming,
    outcome: WriteOutcome,
    now: Instant
): ExecutionStep = when (outcome) {
    is WriteOutcome.Written -> onClaimed(outcome.version, claim.startedAt, now)
    is WriteOutcome.Conflict -> onRecordFound(outcome.version, outcome.record, now)
    WriteOutcome.Unknown -> Step(
        copy(phase = ExecutionPhase.Resolving(claim.expectedVersion, claim.startedAt)),
        persistentListOf(ExecutionEffect.Read(key))
    )
}

private fun Execution.onClaimed(version: Long, startedAt: Instant, now: Instant): ExecutionStep {
    if (now < deadline) {
        val running = ExecutionPhase.Running(version, startedAt)
        return Step(copy(phase = running), persistentListOf(ExecutionEffect.Run))
    }
    val late = Refusal(
        runState = RunState.NOT_RUN,
        reason = RefusalReason.DEADLINE_EXCEEDED,
        detail = "the deadline passed before the request was started"
    )
    return release(version, startedAt, late, now)
}

private fun Execution.onRecordFound(
    version: Long,
    record: ExecutionRecord?,
    now: Instant
): ExecutionStep = when {
    record == null || record.state == ExecutionState.RELEASED -> claim(version, now)
    isOwn(record) ->
        onClaimed(version, Instant.fromEpochMilliseconds(record.startedAtMillis), now)
    else -> Step(
        copy(phase = ExecutionPhase.Ended),
        persistentListOf(record.repeatOutcome(digest, now))
    )
}

/**
 * Returns the replay or the refusal for a repeat of the recorded request, at any process.
 *
 * [digest] is that of the repeat. Callers handle a RELEASED record before they call this function,
 * since it shows that the request was not run.
 */
internal fun ExecutionRecord.repeatOutcome(digest: String, now: Instant): ExecutionEffect {
    if (digest != this.digest) return ExecutionEffect.Refuse(KEY_REUSED_REFUSAL)
    return when (state) {
        ExecutionState.FINISHED ->
            if (answer?.bodyBase64 != null) {
                ExecutionEffect.Replay(answer)
            } else {
                ExecutionEffect.Refuse(RAN_WITHOUT_ANSWER)
            }
        ExecutionState.STARTED ->
            ExecutionEffect.Refuse(
                if (isOverdue(now)) MAY_HAVE_RUN_REFUSAL else STILL_RUNNING_REFUSAL
            )
        ExecutionState.UNKNOWN, ExecutionState.RELEASED ->
            ExecutionEffect.Refuse(MAY_HAVE_RUN_REFUSAL)
    }
}

private fun ExecutionRecord.isOverdue(now: Instant): Boolean =
    now > Instant.fromEpochMilliseconds(deadlineAtMillis) + CLOCK_SKEW_ALLOWANCE

/** Whether [record] is the claim of this attempt, made by this incarnation of the process. */
private fun Execution.isOwn(record: ExecutionRecord): Boolean =
    record.state == ExecutionState.STARTED &&
        record.attemptId == attemptId &&
        record.holder == holder.instance &&
        record.holderIncarnation == holder.incarnation

private fun Execution.claim(expectedVersion: Long, now: Instant): ExecutionStep {
    val record = startedRecord(now)
    return Step(
        copy(phase = ExecutionPhase.Claiming(expectedVersion, now)),
        persistentListOf(ExecutionEffect.Write(key, expectedVersion, record))
    )
}

private fun Execution.onReadEnded(outcome: ReadOutcome, now: Instant): ExecutionStep {
    if (phase is ExecutionPhase.Releasing) return onReleaseRead(phase, outcome, now)
    if (phase !is ExecutionPhase.Resolving) return Step(this)
    return when (outcome) {
        is ReadOutcome.Found -> onRecordFound(outcome.version, outcome.record, now)
        ReadOutcome.Unavailable -> onReadUnavailable(phase, now)
    }
}

private fun Execution.onReadUnavailable(
    resolving: ExecutionPhase.Resolving,
    now: Instant
): ExecutionStep {
    if (reads + 1 < MAX_RESOLVING_READS && now < deadline) {
        return Step(copy(reads = reads + 1), persistentListOf(ExecutionEffect.Read(key)))
    }
    val releasing = ExecutionPhase.Releasing(resolving.expectedVersion, resolving.startedAt)
    return Step(
        copy(phase = releasing),
        persistentListOf(ExecutionEffect.Refuse(TABLE_UNAVAILABLE_REFUSAL))
    )
}

private fun Execution.onAnswer(answer: StoredAnswer, now: Instant): ExecutionStep {
    if (phase !is ExecutionPhase.Running) return Step(this)
    return record(phase, ExecutionState.FINISHED, answer, now)
}

private fun Execution.onUpstreamLost(now: Instant): ExecutionStep {
    if (phase !is ExecutionPhase.Running) return Step(this)
    return record(phase, ExecutionState.UNKNOWN, answer = null, now)
}

private fun Execution.onNeverSent(now: Instant): ExecutionStep {
    if (phase !is ExecutionPhase.Running) return Step(this)
    val unreachable = Refusal(
        runState = RunState.NOT_RUN,
        reason = RefusalReason.UPSTREAM_UNREACHABLE,
        retryAfterMillis = UNREACHABLE_RETRY.inWholeMilliseconds,
        detail = "the upstream refused the connection"
    )
    return release(phase.version, phase.startedAt, unreachable, now)
}

private fun Execution.onAbandoned(refusal: Refusal): ExecutionStep {
    val releasing = when (phase) {
        is ExecutionPhase.Claiming ->
            ExecutionPhase.Releasing(phase.expectedVersion, phase.startedAt)
        is ExecutionPhase.Resolving ->
            ExecutionPhase.Releasing(phase.expectedVersion, phase.startedAt)
        else -> return Step(this)
    }
    return Step(copy(phase = releasing), persistentListOf(ExecutionEffect.Refuse(refusal)))
}

private fun Execution.record(
    running: ExecutionPhase.Running,
    state: ExecutionState,
    answer: StoredAnswer?,
    now: Instant
): ExecutionStep {
    val record = startedRecord(running.startedAt).copy(state = state, answer = answer)
    return Step(
        copy(
            phase = ExecutionPhase.Recording(running.version, record),
            retryAt = now + RETRY_INTERVAL
        ),
        persistentListOf(ExecutionEffect.Write(key, running.version, record))
    )
}

private fun Execution.release(
    version: Long,
    startedAt: Instant,
    refusal: Refusal,
    now: Instant
): ExecutionStep = Step(
    copy(
        phase = ExecutionPhase.Releasing(version, startedAt),
        retryAt = now + RETRY_INTERVAL
    ),
    persistentListOf(
        ExecutionEffect.Refuse(refusal),
        ExecutionEffect.Write(key, version, releasedRecord(startedAt))
    )
)

private fun Execution.onRecordingEnded(outcome: WriteOutcome): ExecutionStep = when (outcome) {
    WriteOutcome.Unknown -> Step(this)
    is WriteOutcome.Written, is WriteOutcome.Conflict -> Step(copy(phase = ExecutionPhase.Ended))
}

private fun Execution.onReleaseEnded(
    releasing: ExecutionPhase.Releasing,
    state: ExecutionState,
    outcome: WriteOutcome,
    now: Instant
): ExecutionStep = when (outcome) {
    is WriteOutcome.Written ->
        if (state == ExecutionState.RELEASED) {
            Step(copy(phase = ExecutionPhase.Ended))
        } else {
            writeRelease(releasing, outcome.version, record = null, now)
        }
    is WriteOutcome.Conflict -> writeRelease(releasing, outcome.version, outcome.record, now)
    WriteOutcome.Unknown -> Step(this)
}

private fun Execution.onReleaseRead(
    releasing: ExecutionPhase.Releasing,
    outcome: ReadOutcome,
    now: Instant
): ExecutionStep = when (outcome) {
    is ReadOutcome.Found -> writeRelease(releasing, outcome.version, outcome.record, now)
    ReadOutcome.Unavailable -> Step(this)
}

private fun Execution.writeRelease(
    releasing: ExecutionPhase.Releasing,
    version: Long,
    record: ExecutionRecord?,
    now: Instant
): ExecutionStep {
    if (record != null && !isOwn(record)) return Step(copy(phase = ExecutionPhase.Ended))
    val released = releasedRecord(releasing.startedAt)
    return Step(
        copy(phase = releasing.copy(version = version), retryAt = now + RETRY_INTERVAL),
        persistentListOf(ExecutionEffect.Write(key, version, released))
    )
}

/** Retries a background write, at intervals that do not overload an unavailable table. */
private fun Execution.onTick(now: Instant): ExecutionStep {
    if (now < retryAt) return Step(this)
    val effect = when (phase) {
        is ExecutionPhase.Recording -> ExecutionEffect.Write(key, phase.version, phase.record)
        is ExecutionPhase.Releasing -> ExecutionEffect.Read(key)
        else -> return Step(this)
    }
    return Step(copy(retryAt = now + RETRY_INTERVAL), persistentListOf(effect))
}

private fun Execution.startedRecord(startedAt: Instant): ExecutionRecord = ExecutionRecord(
    attemptId = attemptId,
    digest = digest,
    holder = holder.instance,
    holderIncarnation = holder.incarnation,
    state = ExecutionState.STARTED,
    startedAtMillis = startedAt.toEpochMilliseconds(),
    deadlineAtMillis = deadline.toEpochMilliseconds()
)

private fun Execution.releasedRecord(startedAt: Instant): ExecutionRecord =
    startedRecord(startedAt).copy(state = ExecutionState.RELEASED)

private const val MAX_RESOLVING_READS = 3

/** At least the timeout of a platform call, so that only one call is in flight at a time. */
private val RETRY_INTERVAL: Duration = 1.seconds

/** Allowed difference between the clock of this process and that of a record's holder. */
private val CLOCK_SKEW_ALLOWANCE: Duration = 2.seconds
private val STILL_RUNNING_RETRY: Duration = 500.milliseconds
private val UNREACHABLE_RETRY: Duration = 1.seconds
private val TABLE_RETRY: Duration = 2.seconds

private val KEY_REUSED_REFUSAL = Refusal(
    runState = RunState.NOT_RUN,
    reason = RefusalReason.KEY_REUSED,
    detail = "the idempotency key was used with another request; this one was not run"
)

private val RAN_WITHOUT_ANSWER = Refusal(
    runState = RunState.RAN,
    reason = RefusalReason.ANSWER_TOO_LARGE,
    detail = "the request was run once; its answer was too large to be recorded"
)

private val STILL_RUNNING_REFUSAL = Refusal(
    runState = RunState.MAY_HAVE_RUN,
    reason = RefusalReason.STILL_RUNNING,
    retryAfterMillis = STILL_RUNNING_RETRY.inWholeMilliseconds,
    detail = "an earlier request with the same idempotency key has not finished"
)

private val MAY_HAVE_RUN_REFUSAL = Refusal(
    runState = RunState.MAY_HAVE_RUN,
    reason = RefusalReason.UPSTREAM_LOST,
    detail = "an earlier request with the same idempotency key was sent to an upstream and " +
        "no answer was recorded; it is not run again"
)

private val TABLE_UNAVAILABLE_REFUSAL = Refusal(
    runState = RunState.MAY_HAVE_RUN,
    reason = RefusalReason.TABLE_UNAVAILABLE,
    retryAfterMillis = TABLE_RETRY.inWholeMilliseconds,
    detail = "this request was not run; whether an earlier one with the same idempotency key " +
        "was run cannot be told while the table service is out"
)
