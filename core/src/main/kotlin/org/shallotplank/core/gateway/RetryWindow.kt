package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant

/** Counts the requests and retries of one service at one entry within a sliding window. */
public data class RetryWindow internal constructor(
    private val requests: SlidingCount,
    private val retries: SlidingCount
) {
    internal constructor(window: Duration) : this(SlidingCount(window), SlidingCount(window))

    internal fun afterRequest(now: Instant): RetryWindow = copy(requests = requests.plus(now))

    internal fun afterRetry(now: Instant): RetryWindow = copy(retries = retries.plus(now))

    /** Whether one more retry fits the budget of [ratio] retries per request plus [slack]. */
    internal fun allows(ratio: Double, slack: Double, now: Instant): Boolean =
        retries.at(now) + 1 <= SAFETY * (ratio * requests.at(now) + slack)

    private companion object {
        /**
         * Share of the budget that is used; the rest covers the error of the buckets and the time
         * until entries learn of a new entry.
         */
        const val SAFETY = 0.7
    }
}
