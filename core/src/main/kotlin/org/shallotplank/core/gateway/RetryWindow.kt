package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant

/** First attempts and repeats of one service within a sliding window, at one entry. */
public data class RetryWindow internal constructor(
    private val requests: SlidingCount,
    private val retries: SlidingCount
) {
    internal constructor(window: Duration) : this(SlidingCount(window), SlidingCount(window))

    internal fun afterRequest(now: Instant): RetryWindow = copy(requests = requests.plus(now))

    internal fun afterRetry(now: Instant): RetryWindow = copy(retries = retries.plus(now))

    /** Whether one more repeat stays below [ratio] per request and [slack]. */
    internal fun allows(ratio: Double, slack: Double, now: Instant): Boolean =
        retries.at(now) + 1 <= SAFETY * (ratio * requests.at(now) + slack)

    private companion object {
        /**
         * Part of the budget that is used; the rest covers the error of the buckets and the time
         * in which entries have not yet heard of a new one.
         */
        const val SAFETY = 0.7
    }
}
