package org.shallotplank.core.gateway

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ServiceName

/**
 * What each request that runs adds to the pause between the events of a service's streams.
 *
 * It remembers the worst of late: one long pause makes every stream late that runs through it, and
 * a change of demand that came once comes again.
 *
 * @property pausePerRequest pause that one running request adds, at its worst and fading since;
 *   null before it was observed.
 * @property observedAt when it was last observed.
 * @property recentlyRunning requests that ran at the last observations, the latest last.
 */
public data class EventPauseEstimate(
    val pausePerRequest: Duration? = null,
    val observedAt: Instant = Instant.DISTANT_PAST,
    val recentlyRunning: PersistentList<Int> = persistentListOf()
) {
    /**
     * Requests that may have run in the passes that are observed now.
     *
     * A pass is observed after its end, when fewer may run than did in it.
     */
    internal val maxRecentlyRunning: Int get() = recentlyRunning.maxOrNull() ?: 0

    internal fun withRunning(count: Int): EventPauseEstimate = copy(
        recentlyRunning = (recentlyRunning + count).takeLast(
            RECENT_OBSERVATIONS
        ).toPersistentList()
    )

    internal fun withObservation(observed: Duration, now: Instant): EventPauseEstimate {
        val before = pausePerRequest ?: observed
        val kept = exp(-((now - observedAt) / DECAY_TIME))
        val decayed = observed + (before - observed) * kept
        return copy(pausePerRequest = maxOf(observed, decayed), observedAt = now)
    }

    private companion object {
        /** Two changes of demand fall into this time where demand changes every few seconds. */
        val DECAY_TIME = 7.seconds

        /** Observations come every 200 ms, and a pass of twice that is a stall. */
        const val RECENT_OBSERVATIONS = 3
    }
}

internal fun GatewayState.onPausesObserved(
    pauses: PersistentMap<ServiceName, Duration>,
    context: GatewayContext
): GatewayStep {
    val next = pauses.entries.fold(pauseEstimates) { known, (service, pause) ->
        val running = upstreamsOf(service).sumOf { it.totalOutstanding }
        val estimate = (known[service] ?: EventPauseEstimate()).withRunning(running)
        val pausePerRequest = pausePerRequestOf(service, pause, estimate.maxRecentlyRunning)
        known.put(
            service,
            pausePerRequest?.let { estimate.withObservation(it, context.now) } ?: estimate
        )
    }
    return copy(pauseEstimates = next).resizeQueues(context)
}

/** What each of [running] requests adds to a [pause], null if it says nothing about that. */
private fun GatewayState.pausePerRequestOf(
    service: ServiceName,
    pause: Duration,
    running: Int
): Duration? {
    val engine = service(service)?.engine ?: return null
    val longest = routesInForce.longestPauses[service] ?: return null
    val slots = upstreamsOf(service).sumOf { it.record.slots }
    val isMeaningful = running >= slots * MIN_OBSERVED_SHARE && pause <= longest * STALL_PAUSES
    val loadDependent = pause - engine.stepTime * engine.eventStride
    return (loadDependent / running.coerceAtLeast(1)).takeIf {
        isMeaningful &&
            loadDependent > Duration.ZERO
    }
}

/**
 * Requests that the engines of [service] may run at once so that pauses stay acceptable.
 *
 * A pass takes a fixed time and a time that grows with the requests in it. Without observations,
 * all [slots].
 */
internal fun GatewayState.maxRunningWithinPause(service: ServiceName, slots: Int): Int {
    val pausePerRequest = pauseEstimates[service]?.pausePerRequest ?: return slots
    val engine = service(service)?.engine ?: return slots
    val longest = routesInForce.longestPauses[service] ?: return slots
    val fixed = engine.stepTime * engine.eventStride
    val maxRunning = (longest * PAUSE_SHARE - fixed) / pausePerRequest
    return maxRunning.toInt().coerceIn((slots * MIN_SLOT_SHARE).toInt().coerceAtLeast(1), slots)
}

/** Fewer requests than this part of the slots say little about what each adds to a pass. */
private const val MIN_OBSERVED_SHARE = 0.25

/** A pause longer than this many acceptable ones is a stall and not due to the load. */
private const val STALL_PAUSES = 2

/** Part of the longest acceptable pause that the worst passes may take. */
private const val PAUSE_SHARE = 0.95

/** Part of the slots that is used however long the pauses are. */
private const val MIN_SLOT_SHARE = 0.4
