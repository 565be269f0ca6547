package org.shallotplank.core.work

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.UpstreamKey

/** Whether upstreams are chosen by expected work. */
public enum class WorkRouting {
    /** For model services whose answers differ so much in length that counting misjudges load. */
    AUTO,

    /** For all services. */
    ON,

    /** For none. */
    OFF
}

/**
 * What an entry has learned about the work of requests.
 *
 * @property outputs tokens of the answers of model services.
 * @property processing processing times of plain services, in milliseconds in place of tokens.
 * @property lengths moments of the lengths that this entry observed, by service.
 * @property reported what other entries reported last.
 * @property dispersed services whose lengths differ so much that counting misjudges the load.
 * @property errors how far estimates were off, by service.
 */
public data class WorkEstimates(
    val outputs: OutputEstimate = OutputEstimate(),
    val processing: OutputEstimate = OutputEstimate(),
    val lengths: PersistentMap<ServiceName, LengthMoments> = persistentMapOf(),
    val reported: WorkReports = WorkReports(),
    val dispersed: PersistentSet<ServiceName> = persistentSetOf(),
    val errors: EstimateErrors = EstimateErrors()
) {
    /** Learns the tokens of a complete answer; [expected] is what was expected of it. */
    internal fun withAnswer(
        service: ServiceName,
        key: OutputKey,
        tokens: Double,
        hintTokens: Int?,
        expected: Double?
    ): WorkEstimates = copy(
        outputs = outputs.with(key.route, key.customer, tokens, hintTokens),
        lengths = lengths.put(service, (lengths[service] ?: LengthMoments()).with(tokens)),
        errors = if (expected == null) errors else errors.with(tokens, expected)
    ).withDispersion(service)

    /** Learns the time in which a plain service processed a request. */
    internal fun withProcessing(
        route: String,
        customer: CustomerName?,
        time: Duration
    ): WorkEstimates = copy(
        processing = processing.with(
            route,
            customer,
            time.inWholeMicroseconds / MICROS_PER_MILLI,
            hintTokens = null
        )
    )

    /** Replaces what [entry] reported before. */
    internal fun withReport(entry: InstanceId, report: ReportedWork): WorkEstimates =
        report.lengths.keys
            .fold(copy(reported = reported.with(entry, report))) { next, service ->
                next.withDispersion(service)
            }

    /** Lengths of the answers of [service] over all entries that reported them. */
    public fun lengthsOf(service: ServiceName): LengthMoments = reported.byEntry.values
        .mapNotNull { it.lengths[service] }
        .fold(lengths[service] ?: LengthMoments(), LengthMoments::plus)

    private fun withDispersion(service: ServiceName): WorkEstimates {
        val isKnown = service in dispersed
        val isNow = isDispersed(lengthsOf(service).dispersion, isKnown)
        return when {
            isNow == isKnown -> this
            isNow -> copy(dispersed = dispersed.add(service))
            else -> copy(dispersed = dispersed.remove(service))
        }
    }

    /** What other entries reported recently about [upstream]. */
    internal fun reportedAt(upstream: UpstreamKey, now: Instant): List<UpstreamWork> =
        reported.at(upstream, now)

    /** When the oldest of the reports in [reportedAt] was made, null without any. */
    internal fun oldestReportAt(upstream: UpstreamKey, now: Instant): Instant? =
        reported.oldestAt(upstream, now)

    internal companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}

/**
 * Work that another entry reported.
 *
 * @property lengths moments of the lengths that it observed itself.
 * @property upstreams work that its own requests have left.
 */
public data class ReportedWork(
    val reportedAt: Instant,
    val lengths: PersistentMap<ServiceName, LengthMoments> = persistentMapOf(),
    val upstreams: PersistentMap<UpstreamKey, UpstreamWork> = persistentMapOf()
)

/**
 * Work that the requests of one entry have left at an upstream.
 *
 * @property timeLeft expected time of generating and processing that is left.
 * @property memoryTokens memory that the requests need at their end.
 */
public data class UpstreamWork(
    val requests: Int,
    val timeLeft: Duration,
    val memoryTokens: Double = 0.0
)

/**
 * How far the expected tokens of answers were off, as decaying sums of logarithms.
 *
 * @property absolute sum of the absolute logarithms of actual over expected tokens.
 * @property signed sum of these logarithms.
 */
public data class EstimateErrors(
    val weight: Double = 0.0,
    val absolute: Double = 0.0,
    val signed: Double = 0.0
) {
    /** Typical factor between expected and actual tokens; 1.0 is exact. */
    public val typicalFactor: Double
        get() = if (weight > 0.0) exp(absolute / weight) else 1.0

    /** Actual over expected tokens, as a geometric mean; above 1.0 estimates are too low. */
    public val bias: Double get() = if (weight > 0.0) exp(signed / weight) else 1.0

    internal fun with(actual: Double, expected: Double): EstimateErrors {
        if (actual <= 0.0 || expected <= 0.0) return this
        val error = ln(actual / expected)
        return EstimateErrors(
            weight = weight * KEPT + 1,
            absolute = absolute * KEPT + abs(error),
            signed = signed * KEPT + error
        )
    }

    private companion object {
        /** The last 200 answers count most. */
        const val KEPT = 1 - 1.0 / 200
    }
}
