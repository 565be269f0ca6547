package org.shallotplank.core.gateway

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import org.shallotplank.core.ServiceName

/**
 * What each request that runs adds to the pause between the events of a service's streams.
 *
 * It remembers the worst of late: one long pause makes every stream late that runs through it, and
 * a change of demand that came once comes again.
 *
 * @property growth pause that one running request adds, at its worst and fading since.
 * @property at when it was last observed.
 */
public data class StreamPace(val growth: Duration, val at: Instant) {
    internal fun after(observed: Duration, now: Instant): StreamPace {
        val kept = exp(-((now - at) / FADE_TIME))
        val faded = observed + (growth - observed) * kept
        return StreamPace(maxOf(observed, faded), now)
    }

    private companion object {
        /** Two changes of demand fall into this time where demand changes every few seconds. */
        val FADE_TIME = 7.seconds
    }
}

internal fun GatewayState.onPausesObserved(
    pauses: PersistentMap<ServiceName, Duration>,
    context: GatewayContext
): GatewayStep {
    val next = pauses.entries.fold(paces) { known, (service, pause) ->
        val growth = growthOf(service, pause) ?: return@fold known
        val pace = known[service]?.after(growth, context.now) ?: StreamPace(growth, context.now)
        known.put(service, pace)
    }
    return copy(paces = next).resizeQueues(context)
}

/** What each request adds to a [pause] that was observed, null if it says nothing about that. */
private fun GatewayState.growthOf(service: ServiceName, pause: Duration): Duration? {
    val engine = service(service)?.engine ?: return null
    val longest = routesInForce.longestPauses[service] ?: return null
    val members = upstreamsOf(service)
    val running = members.sumOf { it.totalOutstanding }
    val slots = members.sumOf { it.record.slots }
    val isTelling = running >= slots * OBSERVED_SHARE && pause <= longest * STALL_PAUSES
    val grown = pause - engine.stepTime * engine.eventStride
    return (grown / running.coerceAtLeast(1)).takeIf { isTelling && grown > Duration.ZERO }
}

/**
 * Requests that the engines of [service] may run at once so that pauses stay acceptable.
 *
 * A pass takes a fixed time and a time that grows with the requests in it. Without observations,
 * all [slots].
 */
internal fun GatewayState.placesAtPace(service: ServiceName, slots: Int): Int {
    val pace = paces[service] ?: return slots
    val engine = service(service)?.engine ?: return slots
    val longest = routesInForce.longestPauses[service] ?: return slots
    val fixed = engine.stepTime * engine.eventStride
    val places = (longest * PAUSE_SHARE - fixed) / pace.growth
    return places.toInt().coerceIn((slots * LEAST_SHARE).toInt().coerceAtLeast(1), slots)
}

/** Fewer requests than this part of the slots say little about what each adds to a pass. */
private const val OBSERVED_SHARE = 0.25

/** A pause longer than this many acceptable ones is a stall and not due to the load. */
private const val STALL_PAUSES = 2

/** Part of the longest acceptable pause that the worst passes may take. */
private const val PAUSE_SHARE = 0.95

/** Part of the slots that is used however long the pauses are. */
private const val LEAST_SHARE = 0.4
