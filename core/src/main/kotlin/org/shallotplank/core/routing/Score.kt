package org.shallotplank.core.routing

import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Returns why the upstream may not receive [request], or null when it may. */
internal fun UpstreamView.rejection(request: RoutingRequest, now: Instant): RoutingReason? = when {
    id in request.excluded -> RoutingReason.EXCLUDED
    draining -> RoutingReason.DRAINING
    isCircuitOpen(now) -> RoutingReason.CIRCUIT_OPEN
    else -> null
}

/**
 * Estimated cost of sending [request] to the upstream; lower is better.
 *
 * The cost is the utilization of the upstream with the request, plus costs of distance and recent
 * failures, minus a gain for a cached prefix, all in units of utilization.
 */
internal fun UpstreamView.score(request: RoutingRequest, now: Instant): Double {
    val distance = when {
        zone == request.zone -> 0.0
        region == request.region -> OTHER_ZONE_COST
        else -> OTHER_REGION_COST
    }
    val isCached = request.prefix != null && request.prefix in cachedPrefixes
    val bonus = if (isCached) CACHED_PREFIX_GAIN else 0.0
    return utilization(now) + distance + failureCost(now) - bonus
}

/** Estimated share of the upstream's limit that would be in use with one more request. */
internal fun UpstreamView.utilization(now: Instant): Double {
    val limit = max(1, concurrencyLimit ?: UNKNOWN_LIMIT)
    return (outstanding + othersOutstanding(now) + 1) / limit
}

/** Requests of other entries in the last report, with exponential decay by its age. */
private fun UpstreamView.othersOutstanding(now: Instant): Double {
    val report = load ?: return 0.0
    val others = max(0, report.running + report.queued - report.ownOutstanding)
    return others * exp(-(report.age(now) / REPORT_DECAY_TIME))
}

/**
 * Cost of recent failures.
 *
 * It is 0 once a probe is due, so that the score of the probe does not depend on the failures.
 */
private fun UpstreamView.failureCost(now: Instant): Double {
    val isRecent = lastFailureAt?.let { now - it < openTime() } ?: false
    return if (isRecent) consecutiveFailures * FAILURE_COST else 0.0
}

/**
 * Whether the circuit breaker rejects requests. It opens after [FAILURES_TO_OPEN] consecutive
 * failures and allows one probe at a time once [openTime] has passed.
 */
private fun UpstreamView.isCircuitOpen(now: Instant): Boolean {
    if (consecutiveFailures < FAILURES_TO_OPEN) return false
    val failedAt = lastFailureAt ?: return false
    return now - failedAt < openTime() || outstanding > 0
}

/**
 * Time for which the circuit stays open after a failure. It is longest for an upstream that has not
 * reported since the failure, because that upstream may be gone.
 */
private fun UpstreamView.openTime(): Duration {
    if (!hasReportedSinceFailure()) return SILENT_OPEN_TIME
    val doublings = (consecutiveFailures - FAILURES_TO_OPEN).coerceIn(0, MAX_DOUBLINGS)
    return FIRST_OPEN_TIME * (1 shl doublings)
}

private fun UpstreamView.hasReportedSinceFailure(): Boolean {
    val failedAt = lastFailureAt ?: return true
    return load?.let { it.at > failedAt } ?: false
}

private const val OTHER_ZONE_COST = 0.05
private const val OTHER_REGION_COST = 1.0
private const val CACHED_PREFIX_GAIN = 0.3
private const val FAILURE_COST = 0.5
private const val FAILURES_TO_OPEN = 3
private const val MAX_DOUBLINGS = 4

/** Concurrency limit that is assumed for an upstream until its agent reports one. */
private const val UNKNOWN_LIMIT = 2
private val REPORT_DECAY_TIME = 5.seconds
private val FIRST_OPEN_TIME = 1.seconds
private val SILENT_OPEN_TIME = 16.seconds
