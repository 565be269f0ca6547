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
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** The admission queue of [service], with the capacity that its upstreams have now. */
internal fun GatewayState.queueOf(service: ServiceName, context: GatewayContext): AdmissionQueue {
    val capacity = capacityOf(service, context)
    return queues[service]?.copy(capacity = capacity, maxQueued = MAX_QUEUED)
        ?: AdmissionQueue(capacity, MAX_QUEUED)
}

/**
 * Requests of [service] that this entry may have at upstreams at once.
 *
 * What the other entries have there is not available, but for an equal share that no entry is
 * denied by reports that are out of date.
 */
private fun GatewayState.capacityOf(service: ServiceName, context: GatewayContext): Int {
    val usable = upstreamsOf(service).filter { isInService(it) && it.isUsable(context.now) }
    val slots = usable.sumOf { it.record.slots }
    val others = usable.sumOf { it.othersOutstanding }
    val maxRunning = maxRunningWithinPause(service, slots)
    val share = ceil(maxRunning.toDouble() / entryCount * GUARANTEED_SHARE).toInt()
    return if (isDiscoveringPeers(context)) share else maxOf(maxRunning - others, share)
}

/** Entries that start together have not heard of each other yet. */
private fun GatewayState.isDiscoveringPeers(context: GatewayContext): Boolean = entryCount > 1 &&
    servingEntries.isEmpty() &&
    context.now - readySince < PEER_DISCOVERY_TIME

/** Takes over a queue and carries out its decisions. */
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
                "waiting" to queues[call.service]?.waitingCount,
                "capacity" to queues[call.service]?.capacity
            )
        )
        is AdmissionDecision.Refuse ->
            refuse(call, GatewayRefusal.OVERLOADED, decision.retryAfter, isAdmitted = false)
    }
}

/** Sends a call to the best upstream that may take it, or refuses it. */
internal fun GatewayState.dispatch(
    call: GatewayCall,
    context: GatewayContext,
    lastReason: GatewayRefusal = GatewayRefusal.NO_UPSTREAM
): GatewayStep {
    val chosen = chooseUpstream(call, context)
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
        "time_left_ms" to send.timeLeft.inWholeMilliseconds,
        "configuration" to routesInForce.version
    )
    return Step(
        put(sent).update(chosen.key) { it.sent(context.now) },
        persistentListOf(send, GatewayEffect.Log(record))
    )
}

private fun GatewayState.chooseUpstream(
    call: GatewayCall,
    context: GatewayContext
): GatewayUpstream? {
    val rate = service(call.service)?.coldRatePerSecond
    return upstreamsOf(call.service)
        .filter {
            isInService(it) &&
                it.mayReceiveAttempt(context.now) &&
                it.record.id !in call.excluded &&
                it.hasRateLeft(rate?.let { all -> rateShareOf(all, it) }, context.now)
        }
        .minByOrNull { score(it, call, context) }
}

/** Estimated cost of sending a request to [upstream]; lower is better. */
private fun GatewayState.score(
    upstream: GatewayUpstream,
    call: GatewayCall,
    context: GatewayContext
): Double {
    val distance = if (upstream.record.zone == settings.zone) 0.0 else CROSS_ZONE_COST
    val full = if (context.now < upstream.fullUntil) FULL_COST else 0.0
    val notPreferred = if (upstream.ownership?.isPreferred == false) NOT_PREFERRED_COST else 0.0
    val hasKeptConnection = call.route.isIdempotent && context.now < upstream.connectionKeptUntil
    val connecting = if (hasKeptConnection) 0.0 else NEW_CONNECTION_COST
    return upstream.utilization() + distance + full + notPreferred + connecting +
        context.random.nextDouble() * TIE_BREAK
}

/**
 * Requests a second that this entry may send to [upstream], of [ratePerSecond] by all entries.
 *
 * It holds for warm upstreams as well, since one may turn cold without notice.
 */
private fun GatewayState.rateShareOf(ratePerSecond: Double, upstream: GatewayUpstream): Int {
    val place = upstream.ownership
        ?: return (ratePerSecond / entryCount).toInt().coerceAtLeast(1)
    return rateShare(ratePerSecond, place.distance, entries.size)
}

private fun GatewayState.connectionShare(service: UpstreamService?): Int {
    val all = service?.maxConnections ?: return DEFAULT_CONNECTIONS
    return (all * CONNECTION_SHARE / entryCount).toInt().coerceAtLeast(1)
}

/**
 * Pause after which a caller that found no upstream of [service] may come back.
 *
 * Most callers come back once only. While no upstream answers at all, that should not be before
 * processes and groups that start can serve them.
 */
internal fun GatewayState.retryAfterFor(service: ServiceName, context: GatewayContext): Duration {
    resumesAt(service, context)?.let { resumesAt ->
        return (resumesAt - context.now) + RETRY_AFTER_JITTER * context.random.nextDouble()
    }
    val lastAnswerAt = upstreamsOf(service).maxOfOrNull { it.lastHeadAt } ?: Instant.DISTANT_PAST
    val isOutage = context.now - lastAnswerAt >= OUTAGE_SILENCE
    return if (isOutage) {
        outageRetryAfter(
            context
        )
    } else {
        spread(MIN_RETRY_AFTER, RETRY_AFTER_JITTER, context)
    }
}

/** Pause after which a caller may come back from an outage. */
internal fun outageRetryAfter(context: GatewayContext): Duration =
    spread(MIN_OUTAGE_RETRY_AFTER, OUTAGE_RETRY_AFTER_JITTER, context)

private fun spread(least: Duration, spread: Duration, context: GatewayContext): Duration =
    least + spread * context.random.nextDouble()

/** Bounds the memory of waiting requests; the deadline refuses most before that. */
private const val MAX_QUEUED = 256

/** Part of an equal share of the slots that an entry may always use. */
private const val GUARANTEED_SHARE = 0.5

/** Entries that start at the same moment are ready and have asked each other within this time. */
private val PEER_DISCOVERY_TIME = 1_000.milliseconds

/** Traffic between zones is priced; worth less than one slot of an upstream. */
private const val CROSS_ZONE_COST = 0.02
private const val FULL_COST = 1.0

/** A new connection takes a few milliseconds; worth less than one slot of an upstream. */
private const val NEW_CONNECTION_COST = 0.08

/**
 * What other entries have at their own upstreams is known late; a third of the slots is more than
 * what usually changes until it is known.
 */
private const val NOT_PREFERRED_COST = 0.35
private const val TIE_BREAK = 0.01

/** Connections to an upstream whose service is not described. */
private const val DEFAULT_CONNECTIONS = 16

/** Part of an upstream's connections that entries use, so that probes find some free. */
private const val CONNECTION_SHARE = 0.8
private val MIN_RETRY_AFTER = 300.milliseconds
private val RETRY_AFTER_JITTER = 900.milliseconds

/** A service of which nothing was heard for so long is out; several passes of its engines. */
private val OUTAGE_SILENCE = 500.milliseconds

/** A process that starts again serves within a second, and a group forms in about as long. */
private val MIN_OUTAGE_RETRY_AFTER = 600.milliseconds
private val OUTAGE_RETRY_AFTER_JITTER = 1_200.milliseconds
