package org.shallotplank.core.agent

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.admission.AdmissionRequest
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Service
import org.shallotplank.core.execution.ExecutionEvent
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then
import org.shallotplank.core.withoutEntriesBefore

/** An agent's next state and the side effects that it requests. */
public typealias AgentStep = Step<AgentState, AgentEffect>

/**
 * Applies [event] to the state of an agent.
 *
 * Requests reach the upstream only through its agent. The agent therefore enforces the limit, the
 * at-most-once protocol, draining and the state of the availability zone even for entries with an
 * outdated view.
 */
public fun AgentState.on(event: AgentEvent, now: Instant, random: Random): AgentStep {
    val context = AgentContext(now, random)
    return when (event) {
        is AgentEvent.Offered -> onOffered(event, context)
        is AgentEvent.Cancelled -> cancel(event.attemptId, context)
        is AgentEvent.ConnectionClosed -> onConnectionClosed(event.connection, context)
        is AgentEvent.WriteEnded ->
            onExecution(
                event.attemptId,
                ExecutionEvent.WriteEnded(event.state, event.outcome),
                context
            )
        is AgentEvent.ReadEnded ->
            onExecution(event.attemptId, ExecutionEvent.ReadEnded(event.outcome), context)
        is AgentEvent.AnswerStarted -> onAnswerStarted(event)
        is AgentEvent.AnswerContinued -> onAnswerContinued(event, now)
        is AgentEvent.AnswerEnded -> onAnswerEnded(event.attemptId, context)
        is AgentEvent.UpstreamFailed -> onUpstreamFailed(event, context)
        is AgentEvent.LoadReported -> onLoadReported(event, context)
        AgentEvent.UpstreamUnreachable -> onUnreachable(context)
        is AgentEvent.ConfigurationAccepted -> onConfiguration(event.configuration, context)
        is AgentEvent.ReadinessChanged ->
            copy(isReady = event.isReady).refuseWaiting(context)
        AgentEvent.StopRequested -> onStopRequested(context)
        AgentEvent.Tick -> onTick(context)
    }
}

/** Time and source of randomness while one event is handled. */
internal class AgentContext(val now: Instant, val random: Random)

private fun AgentState.onOffered(event: AgentEvent.Offered, context: AgentContext): AgentStep {
    val offer = event.offer
    if (offer.attemptId in seen) {
        val log = logRecord(LogEvent.OFFER_IGNORED, "attempt" to offer.attemptId)
        return Step(this, persistentListOf(AgentEffect.Log(log)))
    }
    val noted = copy(seen = seen.put(offer.attemptId, context.now))
    val refusal = noted.refusalOf(offer)
    if (refusal != null) return AgentStep(noted).refuse(event, refusal)
    val attempt = AgentAttempt(
        offer = offer,
        connection = event.connection,
        deadline = context.now + offer.remainingMillis.milliseconds
    )
    val accepted = noted.copy(attempts = noted.attempts.put(offer.attemptId, attempt))
    val request = accepted.admissionRequest(attempt, context.now)
    val admission = accepted.queue.offer(request, context.now, context.random)
    return accepted.applyAdmission(admission, context)
}

/** Returns the refusal of [offer], or null if it may be queued. */
private fun AgentState.refusalOf(offer: AttemptOffer): Refusal? {
    val operation = service?.operation(offer.method, offer.path.substringBefore('?'))
    return newWorkRefusal() ?: when {
        offer.service != self.service || operation == null ->
            Refusal.notRun(RefusalReason.NO_UPSTREAM, "the upstream does not offer this operation")
        !operation.idempotent && offer.idempotencyKey == null ->
            Refusal.notRun(RefusalReason.NO_UPSTREAM, "a non-idempotent operation needs a key")
        else -> null
    }
}

/** Returns the refusal of all attempts that have not started, or null if they may start. */
internal fun AgentState.newWorkRefusal(): Refusal? = when {
    drainingSince != null -> Refusal.notRun(RefusalReason.DRAINING, "the upstream is leaving")
    configuration == null || !isReady -> notConfigured()
    !configuration.isInService(self.zone) -> Refusal.notRun(
        RefusalReason.ZONE_OUT_OF_SERVICE,
        "zone ${self.zone} is out of service"
    )
    else -> null
}

private fun notConfigured(): Refusal = Refusal.notRun(
    RefusalReason.NOT_CONFIGURED,
    "the agent has not caught up with the configuration"
)

private fun AgentState.admissionRequest(attempt: AgentAttempt, now: Instant): AdmissionRequest {
    val offer = attempt.offer
    return AdmissionRequest(
        id = offer.attemptId.queueId,
        customer = offer.customer,
        startBy = now + maxWait(attempt, now),
        weight = offer.weight,
        priority = offer.priority
    )
}

/** Returns the longest time that [attempt] may be queued and still leave time for its answer. */
private fun AgentState.maxWait(attempt: AgentAttempt, now: Instant): Duration {
    val half = (attempt.deadline - now) / 2
    if (!attempt.offer.streamed) return half
    return minOf(half, limit.limits.targetFirstToken / 2)
}

private fun AgentState.onConnectionClosed(
    connection: ConnectionId,
    context: AgentContext
): AgentStep {
    val orphans = attempts.values.filter { it.connection == connection }
    return orphans.fold(AgentStep(this)) { step, attempt ->
        step.then { it.cancel(attempt.offer.attemptId, context) }
    }
}

private fun AgentState.onLoadReported(
    event: AgentEvent.LoadReported,
    context: AgentContext
): AgentStep {
    val reported = LimitEvent.LoadReported(
        incarnation = event.incarnation,
        running = event.running,
        queued = event.queued,
        step = event.step,
        cold = event.cold,
        cachedPrefixes = event.cachedPrefixes.size
    )
    val known = copy(
        step = event.step,
        cachedPrefixes = event.cachedPrefixes,
        upstreamReachable = true
    )
    return known.onLimit(reported, context).then { Step(it, it.broadcast()) }
}

private fun AgentState.onUnreachable(context: AgentContext): AgentStep {
    if (!upstreamReachable) return Step(this)
    return copy(upstreamReachable = false)
        .onLimit(LimitEvent.UpstreamLost, context)
        .then { Step(it, it.broadcast()) }
}

private fun AgentState.onConfiguration(accepted: Configuration, context: AgentContext): AgentStep {
    val present = configuration
    if (present != null && accepted.version <= present.version) return Step(this)
    val log = logRecord(LogEvent.CONFIGURATION_IN_FORCE, "version" to accepted.version)
    return Step(copy(configuration = accepted), persistentListOf(AgentEffect.Log(log)))
        .then { it.applyLimits(it.service, context) }
        .then { it.refuseWaiting(context) }
        .then { Step(it, it.broadcast()) }
}

private fun AgentState.applyLimits(service: Service?, context: AgentContext): AgentStep {
    if (service == null || service.limits == limit.limits) return Step(this)
    return onLimit(LimitEvent.LimitsChanged(service.limits), context)
}

/** Refuses all attempts that have not started if the upstream must get no new work. */
private fun AgentState.refuseWaiting(context: AgentContext): AgentStep {
    val refusal = newWorkRefusal() ?: return Step(this)
    val waiting = attempts.values.filter { it.phase != AttemptPhase.RUNNING }
    return waiting.fold(AgentStep(this)) { step, attempt ->
        step.then { it.refuseBeforeStart(attempt.offer.attemptId, refusal, context) }
    }
}

private fun AgentState.onStopRequested(context: AgentContext): AgentStep {
    if (drainingSince != null) return Step(this)
    val log = logRecord(LogEvent.PROCESS_DRAINING, "in_flight" to attempts.size)
    return Step(copy(drainingSince = context.now), persistentListOf(AgentEffect.Log(log)))
        .then { it.refuseWaiting(context) }
        .then { Step(it, it.broadcast()) }
        .then { it.exitWhenDrained(context) }
}

private fun AgentState.onTick(context: AgentContext): AgentStep {
    val swept = copy(seen = seen.withoutEntriesBefore(context.now - SEEN_TIME_TO_LIVE))
    return swept.applyAdmission(swept.queue.expire(context.now, context.random), context)
        .then { it.endOverdue(context) }
        .then { it.tickExecutions(context) }
        .then { it.exitWhenDrained(context) }
}

private fun AgentState.tickExecutions(context: AgentContext): AgentStep =
    executions.keys.fold(AgentStep(this)) { step, id ->
        step.then { it.onExecution(id, ExecutionEvent.Tick, context) }
    }

private fun AgentState.exitWhenDrained(context: AgentContext): AgentStep {
    if (!isDrained(context.now)) return Step(this)
    return Step(this, persistentListOf(AgentEffect.Exit))
}

internal fun AgentState.broadcast() = persistentListOf(AgentEffect.Broadcast(report()))

/** Id of an attempt in the admission queue, which holds attempts, not requests. */
internal val AttemptId.queueId: RequestId get() = RequestId(value)

private val SEEN_TIME_TO_LIVE = 5.minutes
