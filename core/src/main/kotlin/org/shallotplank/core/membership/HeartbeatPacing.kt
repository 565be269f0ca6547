package org.shallotplank.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the heartbeat interval so that heartbeat traffic is bounded for any number of links.
 *
 * Any other message on a link counts as a heartbeat, so a process sends heartbeats only on idle
 * links.
 */
public data class HeartbeatPacing(
    val minInterval: Duration = 1.seconds,
    val bytesPerHeartbeat: Int = 216,
    /** Limit on the heartbeat bytes per second of a process, in each direction. */
    val bytesPerSecond: Int = 1500
) {
    /** Returns the interval between two heartbeats on each of [linkCount] links. */
    public fun interval(linkCount: Int): Duration {
        val share = (linkCount.toDouble() * bytesPerHeartbeat / bytesPerSecond).seconds
        return maxOf(minInterval, share)
    }
}
