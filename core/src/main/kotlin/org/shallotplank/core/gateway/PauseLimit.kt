package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.ServiceName
import org.shallotplank.core.work.readTimeOf
import org.shallotplank.core.work.timePerToken

/** A pause that was observed at [at], and the requests that were counted as running then. */
public data class ObservedIteration(val at: Instant, val running: Int, val pause: Duration)

/**
 * Limits running requests so that the predicted iteration is no longer than the acceptable pause.
 *
 * Each observation of the last [window] predicts how long an iteration takes with more or fewer
 * requests, and the lowest resulting limit applies. A pause above the acceptable one lowers the
 * limit with the report that contains it. A way to compare; [maxRunningWithinPause] is in use.
 *
 * @property window time for which an observation counts in full. A change of demand for experts
 *   that recurs within it meets a limit that allows for it. With 4 s, a demand that changes every
 *   6 s meets a limit that has just recovered.
 * @property separatesConstant whether the published times of prompts and of the requests on the
 *   fullest upstream above the average are taken as independent of the number of running requests.
 *   Otherwise all time above the fixed time of an iteration is proportional to that number.
 * @property pacedShare part of the time of this entry's unread prompts at one upstream by which the
 *   acceptable pause is reduced.
 */
public data class PauseLimit(
    val window: Duration = 8.seconds,
    val separatesConstant: Boolean = false,
    val pacedShare: Double = 0.0
) {
    /**
     * Highest number of requests of [service] that may run, at most [slots].
     *
     * Returns [slots] before the first observation, after stalls, and where the engine or the
     * longest acceptable pause is not published.
     */
    public fun maxRunning(state: GatewayState, service: ServiceName, slots: Int): Int {
        val engine = state.service(service)?.engine ?: return slots
        val longest = state.routesInForce.longestPauses[service] ?: return slots
        val iterations = state.pauseEstimates[service]?.iterations.orEmpty()
        val last = iterations.lastOrNull()?.takeIf { slots > 0 } ?: return slots
        val upstreams = state.upstreamsOf(service).filter { it.isListed }
        val prediction = IterationPrediction(
            target = longest * PAUSE_SHARE - state.unreadTimeOf(upstreams) * pacedShare,
            constant = engine.stepTime * engine.eventStride +
                (if (separatesConstant) engine.constantTime(upstreams) else Duration.ZERO),
            minPerRequest = if (separatesConstant) {
                engine.iterationTimePerRequest / upstreams.size.coerceAtLeast(1)
            } else {
                Duration.ZERO
            }
        )
        val minRunning = upstreams.sumOf { it.record.slots } * MIN_OBSERVED_SHARE
        val recent = iterations.filter { last.at - it.at < window }
        val limit = recent.mapNotNull { observed ->
            // An iteration is observed after its end, when fewer requests may be running.
            val running = recent.filter { observed.at - it.at in Duration.ZERO..COUNT_TIME }
                .maxOf { it.running }
            if (running < minRunning) null else prediction.maxRunning(observed.pause, running)
        }.minOrNull() ?: slots
        return limit.coerceIn((slots * MIN_SLOT_SHARE).toInt().coerceAtLeast(1), slots)
    }

    /** Time of the prompts and of the requests that the fullest upstream has above the average. */
    private fun EngineProfile.constantTime(upstreams: List<GatewayUpstream>): Duration {
        val counts = upstreams.map { it.totalOutstanding }
        val above = if (counts.isEmpty()) 0.0 else counts.max() - counts.average()
        val prompts = PROMPTS_OF_SLOWEST * (usualPromptTokens ?: 0).toDouble()
        val readable = chunkTokens?.let { it.toDouble() * eventStride } ?: prompts
        return readTimeOf(minOf(prompts, readable)) + iterationTimePerRequest * above
    }

    private fun GatewayState.unreadTimeOf(upstreams: List<GatewayUpstream>): Duration =
        upstreams.maxOfOrNull { unreadTimeAt(it.key) } ?: Duration.ZERO

    private companion object {
        /**
         * Covers every iteration that is not a stall: observations arrive every 200 ms, and an
         * iteration of twice that is a stall.
         */
        val COUNT_TIME = 450.milliseconds

        /**
         * Usual prompts that the slowest rank of a large group reads in an iteration: lengths are
         * spread by about their mean, and the longest of those read at once counts.
         */
        const val PROMPTS_OF_SLOWEST = 2
    }
}

/** Time that a generating request adds to an iteration of its engine. */
private val EngineProfile.iterationTimePerRequest: Duration get() = timePerToken * eventStride

/**
 * Relates the length of an iteration to the number of requests in it.
 *
 * @property target length that an iteration may have.
 * @property constant part of each iteration that does not grow with the number of requests.
 * @property minPerRequest time that each request adds at least, of all upstreams together.
 */
private class IterationPrediction(
    private val target: Duration,
    private val constant: Duration,
    private val minPerRequest: Duration
) {
    /** Number of requests with which the iteration that took [pause] with [running] fits. */
    fun maxRunning(pause: Duration, running: Int): Int? {
        val perRequest = maxOf((pause - constant) / running.coerceAtLeast(1), minPerRequest)
        if (perRequest <= Duration.ZERO) return null
        return (running + (target - pause) / perRequest).toInt()
    }
}
