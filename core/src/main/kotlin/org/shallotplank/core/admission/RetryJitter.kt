package org.shallotplank.core.admission

import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Spreads the retries of refused requests over the time that it takes to serve them.
 *
 * @property recentRefusals number of refusals, weighted by exponential decay with their age.
 */
internal data class RetryJitter(
    val recentRefusals: Double = 0.0,
    val at: Instant = Instant.DISTANT_PAST
) {
    /** Counts one refusal at [now]. */
    fun afterRefusal(now: Instant): RetryJitter = RetryJitter(decayedRefusals(now) + 1.0, now)

    /**
     * Draws a random retry delay.
     *
     * The delay is at least [MIN_DELAY]. Its range is the time that it takes to serve [ahead]
     * requests and the recent refusals, but at least [MIN_WINDOW] and at most [MAX_WINDOW].
     */
    fun draw(admissionInterval: Duration, ahead: Int, now: Instant, random: Random): Duration {
        val window = (admissionInterval * (ahead + decayedRefusals(now)))
            .coerceIn(MIN_WINDOW, MAX_WINDOW)
        return MIN_DELAY + window * random.nextDouble()
    }

    private fun decayedRefusals(now: Instant): Double {
        if (recentRefusals == 0.0) return 0.0
        return recentRefusals * exp(-((now - at) / DECAY_TIME))
    }

    private companion object {
        val MIN_DELAY = 250.milliseconds
        val MIN_WINDOW = 1.seconds
        val MAX_WINDOW = 60.seconds
        val DECAY_TIME = 10.seconds
    }
}
