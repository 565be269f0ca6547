package org.shallotplank.core.routing

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.limit.Warmth

/**
 * What one entry currently knows about one upstream; all of it may be out of date.
 *
 * @property load the last report, null before the first one.
 * @property concurrencyLimit limit that the agent last reported, null before the first report.
 * @property outstanding requests that this entry has sent to the upstream and that have not ended.
 * @property consecutiveFailures failed attempts of this entry since the last answer.
 * @property lastFailureAt when the latest of these attempts failed.
 * @property draining whether the upstream or its zone is to receive no new work.
 * @property cachedPrefixes prompt prefixes that the upstream is expected to have cached.
 */
public data class UpstreamView(
    val id: InstanceId,
    val zone: ZoneName,
    val region: String,
    val address: Address,
    val warmth: Warmth = Warmth.COLD,
    val load: ReportedLoad? = null,
    val concurrencyLimit: Int? = null,
    val outstanding: Int = 0,
    val consecutiveFailures: Int = 0,
    val lastFailureAt: Instant? = null,
    val draining: Boolean = false,
    val cachedPrefixes: PersistentSet<PrefixFingerprint> = persistentSetOf()
)

/**
 * Load of an upstream at the time [at], which includes the requests of all entries.
 *
 * @property running requests that the upstream was running.
 * @property queued requests that waited in its queue.
 * @property step time between tokens.
 * @property ownOutstanding requests of the observing entry that the report includes.
 */
public data class ReportedLoad(
    val running: Int,
    val queued: Int,
    val step: Duration,
    val at: Instant,
    val ownOutstanding: Int = 0
) {
    /** Time since the report was made, never negative. */
    public fun age(now: Instant): Duration = (now - at).coerceAtLeast(Duration.ZERO)
}
