package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Moves streams away from upstreams that run more requests than their slowdown allows.
 *
 * A moved stream continues at another upstream after its last event, as after a lost attempt. All
 * streams of the service benefit: each of them waits for the slowest upstream in every iteration.
 */
internal fun GatewayState.moveSlowStreams(context: GatewayContext): GatewayStep {
    val overloaded = upstreams.values.filter { isMoveDue(it, context) }
    return overloaded.fold(GatewayStep(this)) { step, upstream ->
        step.then { it.moveStreamsFrom(upstream, context) }
    }
}

/** Whether the slowdown has lasted, still holds, and makes pauses longer than acceptable. */
private fun GatewayState.isMoveDue(upstream: GatewayUpstream, context: GatewayContext): Boolean {
    val slow = upstream.slow ?: return false
    // The limit is updated before, at the same time.
    val isHeldUp = slow.limitedAt == context.now &&
        upstream.outstanding > 0 &&
        upstream.totalOutstanding > slow.slots &&
        context.now - slow.movedAt >= MOVE_INTERVAL
    if (!isHeldUp) return false
    val pauses = recentPauses(upstream.record.service, context.now) ?: return false
    val lastingTime = minOf(pauses.recent * LASTING_ITERATIONS, MAX_LASTING_TIME)
    return pauses.recent > pauses.acceptable && context.now - slow.since >= lastingTime
}

private fun GatewayState.moveStreamsFrom(
    upstream: GatewayUpstream,
    context: GatewayContext
): GatewayStep {
    val count = movesFrom(upstream, context).takeIf { it > 0 } ?: return Step(this)
    // The latest ones first: they probably have the most events left.
    val running = calls.values
        .filter { (it.phase as? GatewayPhase.Sent)?.upstream == upstream.key }
        .sortedByDescending { (it.phase as GatewayPhase.Sent).sentAt }
    var moved = 0
    return running.fold(GatewayStep(this)) { step, call ->
        val next = if (moved < count) step.state.move(call, upstream, context) else null
        if (next == null) {
            step
        } else {
            moved++
            step.then { next }
        }
    }
}

/**
 * Number of streams that this entry moves now.
 *
 * Each entry moves its part of the requests that are too many, at random where that is less than
 * one, so that all entries together move no more than needed.
 */
private fun movesFrom(upstream: GatewayUpstream, context: GatewayContext): Int {
    val excess = upstream.totalOutstanding - (upstream.slow?.slots ?: return 0)
    val part = excess.toDouble() * upstream.outstanding / upstream.totalOutstanding
    return (part + context.random.nextDouble()).toInt().coerceAtMost(MAX_MOVES)
}

/** The step that moves [call] away from [from], null if it must stay there. */
private fun GatewayState.move(
    call: GatewayCall,
    from: GatewayUpstream,
    context: GatewayContext
): GatewayStep? {
    val sent = call.phase as? GatewayPhase.Sent ?: return null
    val isMovable = call.route.kind == RequestKind.STREAM &&
        call.route.isIdempotent &&
        !call.isMoved &&
        isRetryAllowed(call, context)
    val moved = call.copy(
        phase = GatewayPhase.Queued,
        excluded = call.excluded.add(from.record.id),
        earlierEvents = call.earlierEvents + sent.events,
        mayHaveRun = true,
        isMoved = true
    )
    if (!isMovable || !hasFreeSlotFor(moved, context)) return null
    val record = logRecord(
        LogEvent.GATEWAY_STREAM_MOVED,
        "request" to call.request.id,
        "attempt_id" to call.request.attemptId,
        "attempt" to sent.attempt,
        "service" to call.service,
        "upstream" to from.key,
        "slowdown" to "%.2f".format(from.slowdown),
        "begun" to call.isAnswerBegun,
        "attempt_ms" to (context.now - sent.sentAt).inWholeMilliseconds
    )
    val cancel = GatewayEffect.CancelAttempt(call.request.id, sent.attempt)
    val withdrawn = put(moved).update(from.key) {
        it.ended().copy(slow = it.slow?.copy(movedAt = context.now))
    }
    val step = Step(withdrawn, persistentListOf(cancel, GatewayEffect.Log(record)))
        .then { it.retry(moved, context) }
    return step.takeIf { it.effects.any { effect -> effect.isSendOf(call) } }
}

private fun GatewayState.hasFreeSlotFor(call: GatewayCall, context: GatewayContext): Boolean =
    eligibleUpstreams(call, context).any { it.hasFreeSlot(context) }

/** Whether a stream that is moved may go to this upstream, which must not turn it away. */
internal fun GatewayUpstream.hasFreeSlot(context: GatewayContext): Boolean =
    !isAtSlowLimit && totalOutstanding < record.slots && context.now >= fullUntil

/** Iterations after which a slowdown is no passing one. */
private const val LASTING_ITERATIONS = 3

/** Bounds the wait where iterations are long already. */
private val MAX_LASTING_TIME: Duration = 500.milliseconds

/**
 * Time between two moves from one upstream, in which pauses and the counts of other entries show
 * the effect of the first.
 */
private val MOVE_INTERVAL: Duration = 250.milliseconds

/** The upstreams that take the streams read their prompts again. */
private const val MAX_MOVES = 2
