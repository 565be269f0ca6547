package org.shallotplank.gateway.budget

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What a connection has done lately. */
internal data class ConnectionActivity(
    /** Whether it is closing and only waits for the other side. */
    val isClosing: Boolean = false,
    /** Whether a request of it may be running at an upstream. */
    val isRunning: Boolean = false,
    /** Whether it is idle after an answer and its client asks again on a new connection. */
    val isRepeatable: Boolean = false,
    /** Time since bytes were last received or read by the other side. */
    val silence: Duration,
    /** Time for which a request has been arriving, null if none is. */
    val arrivingFor: Duration? = null,
    /** Bytes of that request so far. */
    val arrivedBytes: Long = 0
)

/** Whether a request arrives more slowly than [MIN_BYTES_PER_SECOND] after [grace]. */
internal fun isTooSlow(arrivingFor: Duration, arrivedBytes: Long, grace: Duration): Boolean {
    val counted = (arrivingFor - grace).toDouble(DurationUnit.SECONDS)
    return counted > 0 && arrivedBytes < counted * MIN_BYTES_PER_SECOND
}

/**
 * Returns which of [connections] is closed for a new one when no more may be open, null if none.
 *
 * Closing connections come first, then those with the slowest request, then idle ones. A connection
 * with a running request or with a request that arrives fast enough is kept.
 */
internal fun <T> connectionToReplace(
    connections: Iterable<T>,
    activityOf: (T) -> ConnectionActivity
): T? = connections
    .mapNotNull { connection -> replaceRank(activityOf(connection))?.let { connection to it } }
    .maxByOrNull { it.second }
    ?.first

private fun replaceRank(activity: ConnectionActivity): Duration? = when {
    activity.isClosing -> CLOSING_RANK
    activity.isRunning -> null
    activity.arrivingFor != null -> (activity.arrivingFor + SLOW_RANK).takeIf {
        activity.silence >= REPLACE_GRACE ||
            isTooSlow(activity.arrivingFor, activity.arrivedBytes, REPLACE_GRACE)
    }
    else -> activity.silence.takeIf { activity.isRepeatable || it >= REPLACE_IDLE }
}

private val CLOSING_RANK = Duration.INFINITE
private val SLOW_RANK: Duration = 60.minutes

/**
 * Time in which a request may arrive at any rate, or not at all, when a connection is
 * needed for another caller.
 */
private val REPLACE_GRACE = 1.seconds

/**
 * Idle time after which a connection may be closed for another caller; a request that is sent
 * while its connection closes may have to be given up.
 */
private val REPLACE_IDLE = 3.seconds

/** Far below the rate of any network link in use; a body of 4 MB takes 68 minutes. */
internal const val MIN_BYTES_PER_SECOND = 1_024

/** Longest time in which a body may arrive; more than 4 MB take at [MIN_BYTES_PER_SECOND]. */
internal val MAX_BODY_TIME: Duration = 75.minutes
