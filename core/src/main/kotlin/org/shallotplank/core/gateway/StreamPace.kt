package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import org.shallotplank.core.ServiceName

/** Smoothed pause between the events of a service's streams, as of [at]. */
public data class StreamPace(val pause: Duration, val at: Instant) {
    internal fun after(observed: Duration, now: Instant): StreamPace {
        val isOld = now - at > FRESH
        return StreamPace(if (isOld) observed else (pause + observed) / 2, now)
    }

    internal fun isFresh(now: Instant): Boolean = now - at <= FRESH

    private companion object {
        /** Passes end several times in this time while anything runs. */
        val FRESH = 1.seconds
    }
}

internal fun GatewayState.onPausesObserved(
    pauses: PersistentMap<ServiceName, Duration>,
    context: GatewayContext
): GatewayStep {
    val next = pauses.entries.fold(paces) { known, (service, pause) ->
        val pace = known[service]?.after(pause, context.now) ?: StreamPace(pause, context.now)
        known.put(service, pace)
    }
    return copy(paces = next).resizeQueues(context)
}

/**
 * Requests that the engines of [service] may run at once so that pauses stay acceptable.
 *
 * A pass takes a fixed time and a time that grows with the requests in it, [running] of them now;
 * from the pause observed follows what each of them adds. Without observations, all [slots].
 */
internal fun GatewayState.placesAtPace(
    service: ServiceName,
    slots: Int,
    running: Int,
    now: Instant
): Int {
    val pace = paces[service]?.takeIf { it.isFresh(now) } ?: return slots
    val engine = service(service)?.engine ?: return slots
    val longest = longestPauseOf(service) ?: return slots
    val fixed = engine.stepTime * engine.eventStride
    val grown = pace.pause - fixed
    if (running < slots * OBSERVED_SHARE || grown <= Duration.ZERO) return slots
    val places = running * ((longest * PAUSE_SHARE - fixed) / grown)
    return places.toInt().coerceIn((slots * LEAST_SHARE).toInt().coerceAtLeast(1), slots)
}

private fun GatewayState.longestPauseOf(service: ServiceName): Duration? =
    routesInForce.longestPauses[service]

/** Fewer requests than this part of the slots say little about what each adds to a pass. */
private const val OBSERVED_SHARE = 0.2

/** Part of the longest acceptable pause that passes may take; the rest is for their spread. */
private const val PAUSE_SHARE = 0.8

/** Part of the slots that is used however long the pauses are. */
private const val LEAST_SHARE = 0.3
