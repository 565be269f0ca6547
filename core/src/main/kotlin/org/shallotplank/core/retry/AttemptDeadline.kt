package org.shallotplank.core.retry

import kotlin.time.Instant

/**
 * Returns the time until which one attempt may wait for its upstream, leaving time for retries.
 *
 * Divides the time until [startBy], after which starting the request is no longer useful, evenly
 * among the remaining attempts, this one included. The last attempt gets all the remaining time.
 */
public fun attemptStartBy(startBy: Instant, attemptsLeft: Int, now: Instant): Instant {
    require(attemptsLeft > 0) { "attemptsLeft must be positive" }
    return now + (startBy - now) / attemptsLeft
}
