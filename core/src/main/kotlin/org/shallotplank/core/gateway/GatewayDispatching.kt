package org.shallotplank.core.gateway

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.ServiceName
import org.shallotplank.core.Step
import org.shallotplank.core.admission.AdmissionDecision
import org.shallotplank.core.admission.AdmissionQueue
import org.shallotplank.core.admission.AdmissionStep
import org.shallotplank.core.admission.reservedFrom
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** The admission queue of [service], with the current capacity of its upstreams. */
internal fun GatewayState.queueOf(service: ServiceName, context: GatewayContext): AdmissionQueue {
    val capacity = capacityOf(service, context)
    val queue = queues[service]?.copy(capacity = capacity, maxQueued = MAX_QUEUED)
        ?: AdmissionQueue(capacity, MAX_QUEUED)
    return queue.withUrgency(elsewhereOf(service, guaranteedOf(service, context), context.now))
}

/**
 * Number of requests of [service] that this entry may have in flight at once.
 *
 * The requests that other entries have in flight are subtracted. [GUARANTEED_SHARE] of an equal
 * share always remains, so that outdated reports cannot take all capacity from an entry. While the
 * entry discovers its peers, only that share is available.
 */
private fun GatewayState.capacityOf(service: ServiceName, context: GatewayContext): Int {
    val usable = usableUpstreamsOf(service, context)
    val others = usable.sumOf { it.othersOutstanding }
    val maxRunning = maxRunningOf(service, context)
    val share = guaranteedOf(service, context)
    return if (isDiscoveringPeers(context)) share else maxOf(maxRunning - others, share)
}

/** Number of requests of [service] that this entry may have in flight whatever others report. */
private fun GatewayState.guaranteedOf(service: ServiceName, context: GatewayContext): Int =
    ceil(maxRunningOf(service, context).toDouble() / entryCount * GUARANTEED_SHARE).toInt()

private fun GatewayState.usableUpstreamsOf(
    service: ServiceName,
    context: GatewayContext
): List<GatewayUpstream> = upstreamsOf(service).filter {
    isInService(it) && it.isUsable(context.now)
}

/** Number of requests of [service] that all entries together may have in flight at once. */
private fun GatewayState.maxRunningOf(service: ServiceName, context: GatewayContext): Int {
    val slots = usableUpstreamsOf(service, context).sumOf { usableSlots(it, context) }
    return settings.policies.maxRunning(this, service, slots)
}

/** Slots of [upstream], of which a limit on its requests may leave some without use. */
private fun GatewayState.usableSlots(upstream: GatewayUpstream, context: GatewayContext): Int {
    val left = requestsLeft(upstream, context) ?: return upstream.countedSlots
    return (upstream.totalOutstanding + left).coerceAtMost(upstream.countedSlots)
}

/** Whether entries that started together with this one may not have reported to it yet. */
private fun GatewayState.isDiscoveringPeers(context: GatewayContext): Boolean = entryCount > 1 &&
    servingEntries.isEmpty() &&
    context.now - readySince < PEER_DISCOVERY_TIME

/** Stores the new queue of [service] and carries out the decisions of [admission]. */
internal fun GatewayState.applyAdmission(
    service: ServiceName,
    admission: AdmissionStep,
    context: GatewayContext
): GatewayStep {
    val state = copy(queues = queues.put(service, admission.state))
    return admission.effects.fold(GatewayStep(state)) { step, decision ->
        step.then { it.carryOut(decision, context) }
    }
}

private fun GatewayState.carryOut(
    decision: AdmissionDecision,
    context: GatewayContext
): GatewayStep {
    val call = calls[decision.request] ?: return Step(this)
    return when (decision) {
        is AdmissionDecision.Admit -> dispatch(call, context)
        is AdmissionDecision.Queue -> logged(
            logRecord(
                LogEvent.GATEWAY_QUEUED,
                "request" to call.request.id,
                "service" to call.service,
                "priority" to call.priority,
                "reserved" to queues[call.service]?.reservedFrom(call.admissionPriority),
                "waiting" to queues[call.service]?.waitingCount,
                "capacity" to queues[call.service]?.capacity
            )
        )
        is AdmissionDecision.Refuse -> refuse(
            call,
            GatewayRefusal.OVERLOADED,
            decision.retryAfter,
            isAdmitted = false,
            cause = decision.reason
        )
    }
}

/**
 * Sends [admitted] to the eligible upstream with the lowest score.
 *
 * If no upstream is eligible, ends the call with [lastReason].
 */
internal fun GatewayState.dispatch(
    admitted: GatewayCall,
    context: GatewayContext,
    lastReason: GatewayRefusal = GatewayRefusal.NO_UPSTREAM
): GatewayStep {
    val call = withExpectedCost(admitted)
    if (isQuarantined(call, context.now)) {
        return endWithoutAnswer(call, GatewayRefusal.QUARANTINED, context)
    }
    val chosen = upstreamChoice(call, context).draw(context.random)
        ?: return endWithoutAnswer(call, lastReason, context)
    val service = service(call.service)
    val attempt = call.attemptsSent + call.connectFailures + 1
    val sent = call.copy(
        phase = GatewayPhase.Sent(attempt, chosen.key, context.now),
        attemptsSent = call.attemptsSent + 1
    )
    val send = GatewayEffect.Send(
        requestId = call.request.id,
        attempt = attempt,
        upstream = chosen.key,
        address = chosen.record.address,
        customer = call.customer,
        priority = call.priority,
        timeLeft = call.deadline - context.now,
        needsNewConnection = !call.route.isIdempotent,
        isStream = call.route.kind == RequestKind.STREAM,
        maxConnections = connectionShare(service)
    )
    val record = logRecord(
        LogEvent.GATEWAY_SENT,
        "request" to call.request.id,
        "attempt_id" to call.request.attemptId,
        "attempt" to attempt,
        "service" to call.service,
        "customer" to call.customer,
        "upstream" to chosen.key,
        "outstanding" to chosen.outstanding,
        "others_outstanding" to chosen.othersOutstanding,
        "slots" to chosen.record.slots,
        "expected_ms" to call.cost?.total?.inWholeMilliseconds,
        // Costs time with many open requests, so only where it decides.
        "work_left_ms" to call.cost?.takeIf { usesWork(call.service) }
            ?.let { loadAt(chosen, call, context.now).timeLeft.inWholeMilliseconds },
        "by_work" to usesWork(call.service),
        "time_left_ms" to send.timeLeft.inWholeMilliseconds,
        "configuration" to routesInForce.version
    )
    return Step(
        put(sent).update(chosen.key) { it.sent(context.now) },
        persistentListOf(send, GatewayEffect.Log(record))
    )
}

/**
 * Requests that this entry may send to [upstream] in some time, of the [rate] that all entries
 * together may send in it.
 *
 * The limit of cold upstreams applies to warm ones as well, since an upstream may turn cold without
 * notice.
 */
internal fun GatewayState.rateShareOf(rate: Double, upstream: GatewayUpstream): Int {
    val ownership = upstream.ownership ?: return (rate / entryCount).toInt().coerceAtLeast(1)
    return rateShare(rate, ownership.distance, entries.size)
}

private fun GatewayState.connectionShare(service: UpstreamService?): Int {
    val all = service?.maxConnections ?: return DEFAULT_CONNECTIONS
    return (all * CONNECTION_SHARE / entryCount).toInt().coerceAtLeast(1)
}

/**
 * Retry delay for the caller of [call], for which no upstream was found.
 *
 * If the upstreams only pause, the delay lasts until the first of them resumes. Most callers retry
 * only once, so while no upstream answers at all, the delay is meant to last until processes and
 * groups that are starting can serve the retry.
 */
internal fun GatewayState.retryAfterFor(call: GatewayCall, context: GatewayContext): Duration {
    firstPauseEndsAt(call.service, context)?.let { firstPauseEndsAt ->
        return (firstPauseEndsAt - context.now) + RETRY_AFTER_JITTER * context.random.nextDouble()
    }
    if (!isOutage(call.service, context)) {
        return withJitter(MIN_RETRY_AFTER, RETRY_AFTER_JITTER, context)
    }
    val window = outageRetryWindow(call, OUTAGE_RETRY_AFTER_JITTER, context)
    return withJitter(MIN_OUTAGE_RETRY_AFTER, window, context)
}

/** Whether no upstream of [service] has answered for [OUTAGE_SILENCE]. */
internal fun GatewayState.isOutage(service: ServiceName, context: GatewayContext): Boolean {
    val lastAnswerAt =
        upstreamsOf(service).maxOfOrNull { it.lastAnswerHeadAt } ?: Instant.DISTANT_PAST
    return context.now - lastAnswerAt >= OUTAGE_SILENCE
}

/** Retry delay for a caller that is refused while this entry starts. */
internal fun outageRetryAfter(context: GatewayContext): Duration =
    withJitter(MIN_OUTAGE_RETRY_AFTER, OUTAGE_RETRY_AFTER_JITTER, context)

private fun withJitter(minimum: Duration, jitter: Duration, context: GatewayContext): Duration =
    minimum + jitter * context.random.nextDouble()

/** Bounds the memory of waiting requests; most are refused earlier because of their deadline. */
private const val MAX_QUEUED = 256

/** Part of an entry's equal share of the slots that it may use whatever others report. */
private const val GUARANTEED_SHARE = 0.5

/**
 * Entries that start at the same moment are ready and have queried each other for reports within
 * this time.
 */
private val PEER_DISCOVERY_TIME = 1_000.milliseconds

/** Connections to an upstream whose service the configuration does not describe. */
private const val DEFAULT_CONNECTIONS = 16

/** Share of an upstream's connections that all entries together use; the rest is for probes. */
private const val CONNECTION_SHARE = 0.8
private val MIN_RETRY_AFTER = 300.milliseconds
private val RETRY_AFTER_JITTER = 900.milliseconds

/**
 * A service counts as out once none of its upstreams has answered for this long, which is several
 * iterations of its engines.
 */
private val OUTAGE_SILENCE = 500.milliseconds

/**
 * Minimum retry delay during an outage. Entries serve before the last engine is back, and the
 * group of the engines forms up to a second after that.
 */
private val MIN_OUTAGE_RETRY_AFTER = 1_000.milliseconds
private val OUTAGE_RETRY_AFTER_JITTER = 1_200.milliseconds
