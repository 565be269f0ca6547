package org.shallotplank.core.gateway

import kotlin.time.Duration

/**
 * Pauses between the events of the streams that one rank group serves.
 *
 * @property recent a high quantile of the last pauses.
 * @property acceptable longest pause with which a stream is on time.
 * @property fixed part of each pause that depends neither on load nor on the map.
 */
public data class StreamPauses(
    val recent: Duration,
    val acceptable: Duration,
    val fixed: Duration
) {
    /** Pause up to which streams are on time with a margin for a rise of the load. */
    internal val calm: Duration get() = acceptable * CALM_SHARE

    /** Part of the recent pauses that each unit of [imbalance] of the map in use adds. */
    internal fun perImbalance(imbalance: Double): Duration =
        ((recent - fixed) / imbalance).coerceAtLeast(Duration.ZERO)

    /** Imbalance up to which pauses are calm if each unit of imbalance adds [perImbalance]. */
    internal fun calmImbalance(perImbalance: Duration): Double =
        if (perImbalance <= Duration.ZERO) Double.MAX_VALUE else (calm - fixed) / perImbalance

    private companion object {
        const val CALM_SHARE = 0.6
    }
}
