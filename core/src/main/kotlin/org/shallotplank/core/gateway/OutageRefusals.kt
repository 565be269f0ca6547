package org.shallotplank.core.gateway

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.ServiceName

/**
 * Requests of a service that were refused while none of its upstreams answered.
 *
 * @property count number of refusals, weighted by exponential decay with their age.
 */
public data class OutageRefusals(val count: Double = 0.0, val at: Instant = Instant.DISTANT_PAST) {
    internal fun afterRefusal(now: Instant) = OutageRefusals(countAt(now) + 1.0, now)

    internal fun countAt(now: Instant): Double =
        if (count == 0.0) 0.0 else count * exp(-((now - at) / DECAY_TIME))

    private companion object {
        /** Several times the length of a restart of all engines. */
        val DECAY_TIME = 10.seconds
    }
}

/** Counts a request that was refused because no upstream of its service answers. */
internal fun GatewayState.withOutageRefusal(
    call: GatewayCall,
    context: GatewayContext
): GatewayState {
    val isCounted = call.service in routesInForce.servicesOfSeveralPriorities &&
        isOutage(call.service, context)
    if (!isCounted) return this
    val known = outageRefusals[call.service] ?: OutageRefusals()
    return copy(outageRefusals = outageRefusals.put(call.service, known.afterRefusal(context.now)))
}

/**
 * Range of the retry delays of [call] during an outage, [usual] if all requests have one priority.
 *
 * The callers that were refused during the outage retry within the time in which this entry's share
 * of the slots can serve them, but not so late that most of their time has passed.
 */
internal fun GatewayState.outageRetryWindow(
    call: GatewayCall,
    usual: Duration,
    context: GatewayContext
): Duration {
    val refusals = outageRefusals[call.service] ?: return usual
    val slots = slotsOf(call.service)
    val serviceTime = queues[call.service]?.serviceTime
    if (slots == 0 || serviceTime == null) return usual
    val window = serviceTime * entryCount / slots * refusals.countAt(context.now)
    val latest = (call.deadline - context.now) * LATEST_RETRY_SHARE
    return window.coerceIn(usual, maxOf(usual, latest))
}

/** Slots of the upstreams that are listed, whether or not they answer. */
private fun GatewayState.slotsOf(service: ServiceName): Int =
    upstreamsOf(service).filter { it.isListed && isInService(it) }.sumOf { it.record.slots }

/** Share of a caller's remaining time after which a retry can hardly end in time. */
private const val LATEST_RETRY_SHARE = 0.5
