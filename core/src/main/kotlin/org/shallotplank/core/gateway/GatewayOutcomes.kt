package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.AttemptId
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Returns call [id] and its sent phase if [attempt] is its open attempt, otherwise null. */
private fun GatewayState.open(id: RequestId, attempt: Int): OpenAttempt? {
    val call = calls[id] ?: return null
    val sent = call.phase as? GatewayPhase.Sent ?: return null
    return if (sent.attempt == attempt) OpenAttempt(call, sent) else null
}

private class OpenAttempt(val call: GatewayCall, val sent: GatewayPhase.Sent) {
    /** Returns the call queued again, without this attempt and with its upstream excluded. */
    fun callWithoutAttempt(): GatewayCall = call.copy(
        phase = GatewayPhase.Queued,
        excluded = call.excluded.add(sent.upstream.id),
        earlierEvents = call.earlierEvents + sent.events
    )
}

internal fun GatewayState.onConnectFailed(
    event: GatewayEvent.ConnectFailed,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    val record = attemptFailedRecord(open, "connect_${event.cause.name.lowercase()}", context.now)
    val isUpstreamFailure = event.cause in upstreamFailures
    val call = open.callWithoutAttempt().copy(
        attemptsSent = open.call.attemptsSent - 1,
        connectFailures = open.call.connectFailures + 1
    )
    val marked = put(call).update(open.sent.upstream) {
        if (isUpstreamFailure) it.ended().failed(context.now) else it.ended()
    }
    return marked.logged(record).then {
        if (call.connectFailures < MAX_CONNECT_FAILURES && context.now < call.deadline) {
            it.dispatch(call, context)
        } else {
            it.endWithoutAnswer(call, GatewayRefusal.NO_UPSTREAM, context)
        }
    }
}

internal fun GatewayState.onNotRun(
    event: GatewayEvent.NotRun,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    val record = attemptFailedRecord(open, "not_run_${event.status}", context.now)
    val call = open.callWithoutAttempt()
    val marked = put(call).update(open.sent.upstream) {
        when {
            event.isMisdirected -> it.ended().copy(misdirectedAddress = it.record.address)
            else -> it.ended().copy(fullUntil = context.now + FULL_BACKOFF)
        }
    }
    return marked.logged(record)
        .then { it.retryOrEnd(call, GatewayRefusal.UPSTREAM_REFUSED, context) }
}

internal fun GatewayState.onHeadReceived(
    event: GatewayEvent.HeadReceived,
    now: Instant
): GatewayState {
    val open = open(event.requestId, event.attempt) ?: return this
    val load = event.load
    return update(open.sent.upstream) {
        val answered = it.answered(now)
        val isFull = load != null && load.waiting > 0 && load.running >= load.slots
        if (isFull) answered.copy(fullUntil = now + FULL_BACKOFF) else answered
    }
}

internal fun GatewayState.onAnswerBegun(
    event: GatewayEvent.AnswerBegun,
    now: Instant
): GatewayState {
    val open = open(event.requestId, event.attempt) ?: return this
    return put(open.call.copy(isAnswerBegun = true, phase = open.sent.copy(begunAt = now)))
}

internal fun GatewayState.onAnswerHeld(
    event: GatewayEvent.AnswerHeld,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    val call = open.call
    val isWorthRetrying = event.status >= STATUS_SERVER_ERROR &&
        call.route.isIdempotent &&
        isRetryAllowed(call, context)
    if (!isWorthRetrying) return effect(GatewayEffect.DeliverHeld(event.requestId))
    val record = attemptFailedRecord(open, "status_${event.status}", context.now)
    val retriedCall = open.callWithoutAttempt().copy(mayHaveRun = true)
    val candidate = put(retriedCall).update(open.sent.upstream) { it.ended() }
    val retried = candidate.logged(record).then { it.retry(retriedCall, context) }
    val isSent = retried.effects.any { it.isSendOf(call) }
    return if (isSent) retried else effect(GatewayEffect.DeliverHeld(event.requestId))
}

internal fun GatewayState.onAnswerEnded(
    event: GatewayEvent.AnswerEnded,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    val call = open.call
    val record = logRecord(
        LogEvent.GATEWAY_ANSWERED,
        "request" to call.request.id,
        "attempt_id" to call.request.attemptId,
        "service" to call.service,
        "upstream" to open.sent.upstream,
        "status" to event.status,
        "attempts" to call.attemptsSent,
        "waited_ms" to (open.sent.sentAt - call.request.arrivedAt).inWholeMilliseconds,
        "first_event_ms" to event.firstEvent?.inWholeMilliseconds,
        "longest_pause_ms" to event.longestPause?.inWholeMilliseconds,
        "events" to event.events,
        "age_ms" to (context.now - call.request.arrivedAt).inWholeMilliseconds
    )
    return update(open.sent.upstream) { it.answerCompleted(context.now) }
        .learnAnswer(call, open.sent, event, context.now)
        .logged(record)
        .then { it.withAnswered(call, event.status, context.now) }
        .then { it.release(call, context) }
}

internal fun GatewayState.onAttemptLost(
    event: GatewayEvent.AttemptLost,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    return attemptLost(open, event.cause, context, event.detail)
}

private fun GatewayState.attemptLost(
    open: OpenAttempt,
    cause: AttemptFailure,
    context: GatewayContext,
    detail: String? = null
): GatewayStep {
    val record = attemptFailedRecord(open, cause.name.lowercase(), context.now, detail)
    val call = open.callWithoutAttempt().copy(mayHaveRun = true)
    // A crash may cut the connection in the middle of a head or chunk.
    val isLost = cause != AttemptFailure.SILENT
    val suspect = Suspect(
        fingerprint = call.fingerprint,
        attempt = AttemptId("${call.request.id}.${open.sent.attempt}"),
        at = context.now,
        sharedParts = call.request.sharedParts
    )
    val counted = copy(partQuarantine = partQuarantine.ran(call.request.sharedParts))
    val marked = counted.put(call).update(open.sent.upstream) {
        val failed = it.ended().failed(context.now)
        if (isLost) failed.copy(suspects = failed.suspects.add(suspect)) else failed
    }
    val check = marked.upstreams[open.sent.upstream]
        ?.takeIf { isLost }
        ?.let { GatewayEffect.CheckAlive(it.key, it.record.address) }
    return Step(marked, listOfNotNull(check).toPersistentList())
        .then { it.logged(record) }
        .then { it.retryOrEnd(call, GatewayRefusal.UPSTREAM_LOST, context) }
}

/**
 * Cancels an attempt that counts as hung and retries its call.
 *
 * An attempt counts as hung if its upstream has been silent for too long while another upstream of
 * the service answered recently. While all streams of the service pause for long, a silence of
 * several such pauses is needed. The attempt is cancelled only if its route is idempotent and a
 * retry is allowed.
 */
internal fun GatewayState.onAttemptSilent(
    event: GatewayEvent.AttemptSilent,
    context: GatewayContext
): GatewayStep {
    val open = open(event.requestId, event.attempt) ?: return Step(this)
    val call = open.call
    val usualSilence = when {
        !call.isAnswerBegun -> (call.route.goal * HUNG_GOAL_MULTIPLE).coerceAtLeast(MIN_SILENCE)
        else -> ((call.route.longestPause ?: MIN_SILENCE) * HUNG_PAUSE_MULTIPLE)
    }
    val iterationTime = recentPauses(call.service, context.now)?.recent ?: Duration.ZERO
    val maxSilence = maxOf(usualSilence, iterationTime * HUNG_ITERATIONS)
    val doOthersAnswer = upstreamsOf(call.service).any {
        it.key != open.sent.upstream && context.now - it.lastAnswerHeadAt < RECENT_ANSWER_WINDOW
    }
    val isAbandoned = event.silence >= maxSilence &&
        doOthersAnswer &&
        call.route.isIdempotent &&
        isRetryAllowed(call, context)
    if (!isAbandoned) return Step(this)
    return effect(GatewayEffect.CancelAttempt(event.requestId, event.attempt))
        .then { it.attemptLost(open, AttemptFailure.SILENT, context) }
}

/** Whether the attempts, the time left and the retry budget allow [call] to be sent again. */
internal fun GatewayState.isRetryAllowed(call: GatewayCall, context: GatewayContext): Boolean =
    call.attemptsSent < call.route.maxAttempts &&
        // Only a stream can continue at another upstream.
        (!call.isAnswerBegun || call.route.kind == RequestKind.STREAM) &&
        call.deadline - context.now > MIN_RETRY_TIME_LEFT &&
        mayRetry(call.service, context.now) &&
        !isQuarantined(call, context.now)

/**
 * Retries a call if that is safe and allowed, and otherwise ends it without an answer.
 *
 * A retry is safe if the request has not run or its route is idempotent.
 */
private fun GatewayState.retryOrEnd(
    call: GatewayCall,
    reason: GatewayRefusal,
    context: GatewayContext
): GatewayStep {
    val isSafe = !call.mayHaveRun || call.route.isIdempotent
    if (!isSafe || !isRetryAllowed(call, context)) return endWithoutAnswer(call, reason, context)
    return retry(call, context, reason)
}

/** Sends [call] again, which counts towards the retry budget. */
internal fun GatewayState.retry(
    call: GatewayCall,
    context: GatewayContext,
    reason: GatewayRefusal = GatewayRefusal.UPSTREAM_LOST
): GatewayStep {
    val service = call.service
    val counted = copy(
        retries = retries.put(service, retriesOf(service).afterRetry(context.now))
    )
    return counted.dispatch(call, context, reason)
}

/** Whether this sends [call], and not a call that was admitted in its place. */
internal fun GatewayEffect.isSendOf(call: GatewayCall): Boolean =
    this is GatewayEffect.Send && requestId == call.request.id

private fun attemptFailedRecord(
    open: OpenAttempt,
    cause: String,
    now: Instant,
    detail: String? = null
) = logRecord(
    LogEvent.GATEWAY_ATTEMPT_FAILED,
    "request" to open.call.request.id,
    "attempt_id" to open.call.request.attemptId,
    "attempt" to open.sent.attempt,
    "service" to open.call.service,
    "upstream" to open.sent.upstream,
    "cause" to cause,
    "detail" to detail,
    "begun" to open.call.isAnswerBegun,
    "attempt_ms" to (now - open.sent.sentAt).inWholeMilliseconds
)

/** Connect failures that count as failures of the upstream. */
private val upstreamFailures = setOf(ConnectFailure.REFUSED, ConnectFailure.TIMED_OUT)

private const val STATUS_SERVER_ERROR = 500
private const val MAX_CONNECT_FAILURES = 3

/** A full upstream has a free slot again after about one interval between stream events. */
private val FULL_BACKOFF: Duration = 100.milliseconds

/** Multiple of the route's goal after which an attempt without a first byte counts as hung. */
private const val HUNG_GOAL_MULTIPLE = 1.5

/** Multiple of the route's longest acceptable pause after which a stream counts as hung. */
private const val HUNG_PAUSE_MULTIPLE = 8
private val MIN_SILENCE = 400.milliseconds

/** An engine reads a prompt and sends its first event within three iterations of its group. */
private const val HUNG_ITERATIONS = 4

/** Another upstream must have answered within this time; otherwise all of them may be stalled. */
private val RECENT_ANSWER_WINDOW = 300.milliseconds

/** Minimum time to the deadline for a retry; less is not enough for another attempt. */
private val MIN_RETRY_TIME_LEFT = 30.milliseconds
