package org.shallotplank.core.limit

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Observations from which an [UpstreamLimit] adjusts its limit.
 *
 * A cold sign (see [UpstreamLimit]) clears the successes and the step times.
 *
 * @property incarnation incarnation in the last report, null before the first report.
 * @property lost whether the upstream was lost after that report, which is then out of date.
 * @property reportedCold whether the last report said that the upstream is cold.
 * @property staleRunning number of [LimitEvent.Finished] to ignore; a cold sign sets it to the
 *   number of running requests.
 * @property successes requests answered in time since the limit last changed.
 * @property reportedStep smoothed step time from the reports, null before the first one under load.
 * @property usualStep smoothed time between tokens, null before the first answer.
 * @property cachedPrefixes prompt prefixes last reported, null before the first report of them.
 * @property changedAt when the limit last changed, null if it never has.
 */
internal data class LimitEvidence(
    val incarnation: Long? = null,
    val lost: Boolean = false,
    val reportedCold: Boolean = false,
    val staleRunning: Int = 0,
    val successes: Int = 0,
    val reportedStep: Duration? = null,
    val usualStep: Duration? = null,
    val cachedPrefixes: Int? = null,
    val changedAt: Instant? = null
) {
    fun sinceChange(now: Instant): Duration = changedAt?.let { now - it } ?: Duration.INFINITE

    /** Whether the cache is reported empty although it held prefixes before. */
    fun hasLostCache(reported: Int?): Boolean {
        val before = cachedPrefixes ?: return false
        return reported == 0 && before > 0
    }
}
