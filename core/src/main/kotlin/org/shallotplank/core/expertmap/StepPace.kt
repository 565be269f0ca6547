package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Estimates the time of a group's steps from the step numbers that ranks return with their counts.
 *
 * Counts are never stale, unlike reports.
 *
 * @property step the highest step that was observed.
 * @property stepAt when it was first observed.
 * @property lastStepTime time of the steps before it, null before the second observation.
 */
public data class StepPace(
    val step: Long = 0,
    val stepAt: Instant = Instant.DISTANT_PAST,
    val lastStepTime: Duration? = null
) {
    internal fun observed(step: Long, now: Instant): StepPace = when {
        step <= this.step -> this
        this.step == 0L -> StepPace(step, now)
        else -> StepPace(step, now, (now - stepAt) / (step - this.step).toDouble())
    }

    /** Time of a step at [now], null if unknown; the present one may have lasted longer. */
    internal fun stepTime(now: Instant): Duration? = lastStepTime?.let { maxOf(it, now - stepAt) }
}
