package org.shallotplank.core.limit

import kotlin.time.Duration
import org.shallotplank.core.config.ServiceLimits

/** Events from which an agent adjusts the concurrency limit of its upstream. */
public sealed interface LimitEvent {
    /** A request was sent to the upstream. */
    public data object Started : LimitEvent

    /**
     * A request ended at the upstream, answered or not.
     *
     * @property firstToken time from start to the first token or byte, null if none arrived.
     * @property step mean time between tokens, null if the answer had fewer than two.
     * @property succeeded whether the upstream answered; false on error, cut answer or timeout.
     */
    public data class Finished(
        val firstToken: Duration?,
        val step: Duration?,
        val succeeded: Boolean
    ) : LimitEvent

    /**
     * The upstream reported its load. The report may be out of date when it arrives.
     *
     * @property cachedPrefixes prompt prefixes in the upstream's cache, null if not reported.
     */
    public data class LoadReported(
        val incarnation: Long,
        val running: Int,
        val queued: Int,
        val step: Duration,
        val cold: Boolean,
        val cachedPrefixes: Int? = null
    ) : LimitEvent

    /** A configuration with changed limits came into force. */
    public data class LimitsChanged(val limits: ServiceLimits) : LimitEvent

    /** The upstream refuses connections or has dropped all of them: it has probably restarted. */
    public data object UpstreamLost : LimitEvent
}
