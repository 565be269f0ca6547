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
 * Estimates how much each running request adds to the pause between events of a service's streams.
 *
 * An engine sends one event of each stream per iteration, which consists of
 * [EngineProfile.eventStride] token steps. The estimate is a decaying maximum: one long pause
 * delays every stream that is running, and a change of demand that occurred once tends to recur.
 *
 * @property pausePerRequest highest observed pause that one running request adds, decayed over
 *   time; null before the first observation.
 * @property observedAt when it was last observed.
 * @property recentlyRunning numbers of requests that ran at the last observations, the latest last.
 * @property lastPause last observed pause, null before the first observation.
 * @property lastPauseAt when [lastPause] was observed.
 * @property stalledSince when the present series of stalls was first observed, null without one.
 * @property iterations the last pauses that were no stalls, the latest last, for [PauseLimit].
 */
public data class EventPauseEstimate(
    val pausePerRequest: Duration? = null,
    val observedAt: Instant = Instant.DISTANT_PAST,
    val recentlyRunning: PersistentList<Int> = persistentListOf(),
    val lastPause: Duration? = null,
    val lastPauseAt: Instant = Instant.DISTANT_PAST,
    val stalledSince: Instant? = null,
    val iterations: PersistentList<ObservedIteration> = persistentListOf()
) {
    /**
     * Highest number of requests that may have run in the iterations that are observed now.
     *
     * An iteration is observed after its end, when fewer requests may be running than during it.
     */
    internal val maxRecentlyRunning: Int get() = recentlyRunning.maxOrNull() ?: 0

    internal fun withPause(pause: Duration, running: Int, now: Instant): EventPauseEstimate = copy(
        recentlyRunning = (recentlyRunning + running).takeLast(RECENT_OBSERVATIONS)
            .toPersistentList(),
        lastPause = pause,
        lastPauseAt = now
    )

    /** Records an iteration that is not a stall. */
    internal fun withIteration(pause: Duration, running: Int, now: Instant): EventPauseEstimate =
        copy(
            iterations = (
                iterations.filter { now - it.at <= ITERATIONS_KEPT } +
                    ObservedIteration(now, running, pause)
                ).takeLast(MAX_ITERATIONS).toPersistentList()
        )

    /**
     * Records that the last pause is a stall.
     *
     * Iterations that stall for [STALL_TIME] are long for another reason than load, which the
     * estimate from before does not describe.
     */
    internal fun withStall(now: Instant): EventPauseEstimate {
        val since = stalledSince ?: now
        val isPersistent = now - since >= STALL_TIME
        return copy(
            stalledSince = since,
            pausePerRequest = pausePerRequest.takeIf { !isPersistent },
            iterations = if (isPersistent) persistentListOf() else iterations
        )
    }

    internal fun withObservation(observed: Duration, now: Instant): EventPauseEstimate {
        val before = pausePerRequest ?: observed
        val kept = exp(-((now - observedAt) / DECAY_TIME))
        val decayed = observed + (before - observed) * kept
        return copy(
            pausePerRequest = maxOf(observed, decayed),
            observedAt = now,
            stalledSince = null
        )
    }

    private companion object {
        /**
         * Time constant of the decay. Demand that changes every few seconds changes twice within
         * it.
         */
        val DECAY_TIME = 7.seconds

        /** Longer than one stalled iteration of most engines. */
        val STALL_TIME = 1.seconds

        /**
         * Covers every iteration that is not a stall: observations arrive every 200 ms, and an
         * iteration of twice that is a stall.
         */
        const val RECENT_OBSERVATIONS = 3

        /** Longer than the windows of the limits that use them. */
        val ITERATIONS_KEPT = 10.seconds

        /** Observations within [ITERATIONS_KEPT], which arrive every 200 ms. */
        const val MAX_ITERATIONS = 50
    }
}

/** Pauses of [service]'s streams as this entry last observed them, null without recent ones. */
public fun GatewayState.recentPauses(service: ServiceName, now: Instant): StreamPauses? {
    val estimate = pauseEstimates[service] ?: return null
    val recent = estimate.lastPause?.takeIf { now - estimate.lastPauseAt < RECENT_PAUSE_WINDOW }
    val engine = service(service)?.engine
    val acceptable = routesInForce.longestPauses[service]
    if (recent == null || engine == null || acceptable == null) return null
    return StreamPauses(recent, acceptable, fixed = engine.stepTime * engine.eventStride)
}

internal fun GatewayState.onPausesObserved(
    pauses: PersistentMap<ServiceName, Duration>,
    context: GatewayContext
): GatewayStep {
    val next = pauses.entries.fold(pauseEstimates) { known, (service, pause) ->
        val running = upstreamsOf(service).sumOf { it.totalOutstanding }
        val estimate =
            (known[service] ?: EventPauseEstimate()).withPause(pause, running, context.now)
        val pausePerRequest = pausePerRequestOf(service, pause, estimate.maxRecentlyRunning)
        val next = when {
            pausePerRequest != null -> estimate.withObservation(pausePerRequest, context.now)
            isStall(service, pause) -> estimate.withStall(context.now)
            else -> estimate.copy(stalledSince = null)
        }
        val isStall = isStall(service, pause)
        known.put(
            service,
            if (isStall) next else next.withIteration(pause, running, context.now)
        )
    }
    return copy(pauseEstimates = next).resizeQueues(context)
}

/**
 * Time that each of [running] requests adds to [pause].
 *
 * Null if the pause allows no estimate: the engine or the longest acceptable pause of [service] is
 * not configured, too few requests run, the pause is a stall, or no part of it is due to load.
 */
private fun GatewayState.pausePerRequestOf(
    service: ServiceName,
    pause: Duration,
    running: Int
): Duration? {
    val engine = service(service)?.engine ?: return null
    val slots = upstreamsOf(service).sumOf { it.record.slots }
    val isMeaningful = running >= slots * MIN_OBSERVED_SHARE && !isStall(service, pause)
    val loadDependent = pause - engine.stepTime * engine.eventStride
    return (loadDependent / running.coerceAtLeast(1)).takeIf {
        isMeaningful &&
            loadDependent > Duration.ZERO
    }
}

private fun GatewayState.isStall(service: ServiceName, pause: Duration): Boolean {
    val longest = routesInForce.longestPauses[service] ?: return false
    return pause > longest * STALL_PAUSES
}

/**
 * Highest number of requests that the engines of [service] may run at once with acceptable pauses.
 *
 * An iteration takes a fixed time plus a time that grows with the number of requests in it. Returns
 * [slots] before the first observation, while iterations stall and if there are none.
 */
internal fun GatewayState.maxRunningWithinPause(service: ServiceName, slots: Int): Int {
    val pausePerRequest =
        pauseEstimates[service]?.pausePerRequest?.takeIf { slots > 0 } ?: return slots
    val engine = service(service)?.engine ?: return slots
    val longest = routesInForce.longestPauses[service] ?: return slots
    val fixed = engine.stepTime * engine.eventStride
    val maxRunning = (longest * PAUSE_SHARE - fixed) / pausePerRequest
    return maxRunning.toInt().coerceIn((slots * MIN_SLOT_SHARE).toInt().coerceAtLeast(1), slots)
}

/**
 * With fewer requests than this share of the slots, a pause says little about what each of them
 * adds to it.
 */
internal const val MIN_OBSERVED_SHARE = 0.25

/** A pause longer than this multiple of the acceptable one is a stall and not due to load. */
private const val STALL_PAUSES = 2

/** Share of the longest acceptable pause that the slowest iterations may take. */
internal const val PAUSE_SHARE = 0.95

/** Share of the slots that stays usable however long the pauses are. */
internal const val MIN_SLOT_SHARE = 0.4

/** Age from which a pause no longer describes the service. */
private val RECENT_PAUSE_WINDOW = 2.seconds
