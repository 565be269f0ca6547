package org.shallotplank.core.limit

import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.config.ServiceLimits

/**
 * Concurrency limit of one upstream, maintained by its agent.
 *
 * The limit starts at [ServiceLimits.coldConcurrency] and rises by one at a time while requests
 * that use at least half of it are answered in time (slow start). A cold sign resets it at once: a
 * new incarnation, a jump of the step time, a lost prompt cache, a lost connection, or a report by
 * the upstream that it is cold. When the step time exceeds [ServiceLimits.targetStep], the limit is
 * lowered by the ratio of target to observed step time, and at most halved.
 *
 * Requests that started before the last cold sign do not count as evidence after it.
 * Each [LimitEvent.Started] must be followed by exactly one [LimitEvent.Finished], also when the
 * upstream is lost.
 *
 * @property concurrency maximum number of requests that the upstream may run concurrently now.
 * @property running number of requests that the agent has started and that have not finished.
 */
@ConsistentCopyVisibility
public data class UpstreamLimit internal constructor(
    val limits: ServiceLimits,
    val concurrency: Int,
    val warmth: Warmth,
    val running: Int,
    internal val evidence: LimitEvidence
) {
    /** Creates the limit of an upstream without any observations yet. */
    public constructor(limits: ServiceLimits) : this(
        limits = limits,
        concurrency = limits.coldLimit,
        warmth = Warmth.COLD,
        running = 0,
        evidence = LimitEvidence()
    )

    /** Whether one more request may be started now. */
    public val admits: Boolean get() = running < concurrency

    /**
     * Whether answers may raise the limit: the last report does not say cold, and at least as many
     * requests have finished since the last cold sign as were running then.
     */
    internal val growthAllowed: Boolean
        get() = !evidence.reportedCold && evidence.staleRunning == 0
}

/** Returns the limit after [event]; never above [ServiceLimits.maxConcurrency]. */
public fun UpstreamLimit.on(event: LimitEvent, now: Instant): UpstreamLimit = when (event) {
    LimitEvent.Started -> copy(running = running + 1)

    is LimitEvent.Finished -> finished(event, now)

    is LimitEvent.LoadReported -> loadReported(event, now)

    is LimitEvent.LimitsChanged -> limitsChanged(event.limits)

    LimitEvent.UpstreamLost ->
        copy(evidence = evidence.copy(lost = true, reportedCold = false)).resetToCold(now)
}

private fun UpstreamLimit.finished(event: LimitEvent.Finished, now: Instant): UpstreamLimit {
    val left = copy(running = max(0, running - 1))
    if (evidence.staleRunning > 0) {
        return left.copy(evidence = evidence.copy(staleRunning = evidence.staleRunning - 1))
    }
    val step = event.step
    return when {
        !event.succeeded -> left.lower(FAILURE_FACTOR, now)
        step != null && isColdStep(step) -> left.resetToCold(now)
        step != null && step > limits.targetStep -> left.lower(limits.targetStep / step, now)
        isLate(event) -> left
        else -> left.observe(step).raise(wasRunning = running, now)
    }
}

private fun UpstreamLimit.isLate(event: LimitEvent.Finished): Boolean {
    val firstToken = event.firstToken ?: return false
    return firstToken > limits.targetFirstToken
}

private fun UpstreamLimit.loadReported(
    event: LimitEvent.LoadReported,
    now: Instant
): UpstreamLimit {
    val known = evidence.incarnation
    val isStale = evidence.lost && event.incarnation == known && !event.cold
    if (isStale) return this
    val reported = copy(
        evidence = evidence.copy(
            incarnation = event.incarnation,
            lost = false,
            reportedCold = event.cold,
            reportedStep = evidence.smoothedStep(event),
            cachedPrefixes = event.cachedPrefixes ?: evidence.cachedPrefixes
        )
    )
    return when {
        known != null && event.incarnation != known -> reported.resetToCold(now)
        event.cold -> reported.resetToCold(now)
        evidence.hasLostCache(event.cachedPrefixes) -> reported.resetToCold(now)
        reported.evidence.reportedStep?.let(
            reported::isColdStep
        ) == true -> reported.resetToCold(now)
        else -> reported
    }
}

private fun LimitEvidence.smoothedStep(event: LimitEvent.LoadReported): Duration? {
    if (event.running == 0) return reportedStep
    val usual = reportedStep ?: usualStep ?: return null
    return usual + (event.step - usual) * REPORTED_STEP_SMOOTHING
}

private fun UpstreamLimit.limitsChanged(changed: ServiceLimits): UpstreamLimit {
    val ceiling = if (warmth == Warmth.COLD) changed.coldConcurrency else changed.maxConcurrency
    val floor = changed.coldLimit
    return copy(
        limits = changed,
        concurrency = concurrency.coerceIn(floor, max(floor, ceiling))
    )
}

/** Whether [step] is so far above the usual step time that the upstream must be cold. */
private fun UpstreamLimit.isColdStep(step: Duration): Boolean {
    val usual = evidence.usualStep ?: return false
    return step > limits.targetStep && step > usual * COLD_STEP_FACTOR
}

private fun UpstreamLimit.resetToCold(now: Instant): UpstreamLimit = copy(
    concurrency = limits.coldLimit,
    warmth = Warmth.COLD,
    evidence = evidence.copy(
        staleRunning = running,
        successes = 0,
        reportedStep = null,
        usualStep = null,
        changedAt = now
    )
)

private fun UpstreamLimit.lower(factor: Double, now: Instant): UpstreamLimit {
    if (evidence.sinceChange(now) < LOWER_INTERVAL) return this
    val floor = limits.coldLimit
    val lowered = (concurrency * factor.coerceAtLeast(MIN_LOWER_FACTOR)).toInt()
    return copy(
        concurrency = lowered.coerceAtLeast(floor),
        evidence = evidence.copy(successes = 0, changedAt = now)
    )
}

private fun UpstreamLimit.observe(step: Duration?): UpstreamLimit {
    if (step == null) return this
    val usual = evidence.usualStep
    val smoothed = usual?.let { it + (step - it) * STEP_SMOOTHING } ?: step
    return copy(evidence = evidence.copy(usualStep = smoothed))
}

/** Counts a success and raises the limit by one after enough successes and time. */
private fun UpstreamLimit.raise(wasRunning: Int, now: Instant): UpstreamLimit {
    val isUsed = wasRunning * 2 >= concurrency
    if (!growthAllowed || !isUsed) return this
    val counted = copy(evidence = evidence.copy(successes = evidence.successes + 1))
    val isDue = evidence.sinceChange(now) >= RAISE_INTERVAL
    if (!isDue || counted.evidence.successes < successesToRaise) return counted
    val raised = min(concurrency + 1, limits.maxConcurrency)
    val isReady = raised >= limits.maxConcurrency || warmth == Warmth.READY
    return counted.copy(
        concurrency = raised,
        warmth = if (isReady) Warmth.READY else Warmth.WARMING,
        evidence = counted.evidence.copy(successes = 0, changedAt = now)
    )
}

/** Concurrency limit of a cold upstream. */
private val ServiceLimits.coldLimit: Int get() = min(coldConcurrency, maxConcurrency)

/** Higher for a ready upstream, whose capacity is known: its limit is raised more slowly. */
private val UpstreamLimit.successesToRaise: Int
    get() = if (warmth == Warmth.READY) concurrency else SUCCESSES_PER_RAISE

private const val COLD_STEP_FACTOR = 2.5

/** Low, because a report may come from a single step that processed a long prompt. */
private const val REPORTED_STEP_SMOOTHING = 0.2
private const val FAILURE_FACTOR = 0.7
private const val MIN_LOWER_FACTOR = 0.5
private const val STEP_SMOOTHING = 0.1
private const val SUCCESSES_PER_RAISE = 1
private val RAISE_INTERVAL = 1.seconds
private val LOWER_INTERVAL = 1.seconds
