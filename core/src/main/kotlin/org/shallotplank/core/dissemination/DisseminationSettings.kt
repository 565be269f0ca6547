package org.shallotplank.core.dissemination

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Intervals, timeouts and limits of [Dissemination]. */
public data class DisseminationSettings(
    val tickInterval: Duration = 250.milliseconds,
    /** Gap between two events above which the process counts as having been suspended. */
    val pauseLimit: Duration = 3.seconds,
    val digestInterval: Duration = 1.seconds,
    /** Timeout for the answer to a digest, after which another peer gets one. */
    val digestTimeout: Duration = 500.milliseconds,
    /** Number of peers that a new version or notice is pushed to. */
    val pushFanout: Int = 24,
    /**
     * Whether the process forwards what it received from a peer.
     *
     * It always pushes the versions that it read from the table and its own notices.
     */
    val forwardsPushes: Boolean = true,
    /** Target rate of reads of the manifest's key, summed over all processes. */
    val tableReadsPerSecond: Double = 15.0,
    /** The same rate for the time in which processes are catching up or isolated. */
    val urgentReadsPerSecond: Double = 800.0,
    val minReadInterval: Duration = 1.seconds,
    val minUrgentReadInterval: Duration = 1.seconds,
    /** Time without any message after which a process counts as isolated. */
    val isolationTimeout: Duration = 4.seconds,
    /** Time since its last message for which a sender is treated like a peer. */
    val senderTimeout: Duration = 20.seconds,
    /** Maximum number of senders that are treated like peers beside the chosen peers. */
    val maxSenders: Int = 64,
    /** Number of peers whose answers make a process ready while the table is unavailable. */
    val catchUpPeers: Int = 3,
    /** Timeout of a manifest request, after which another peer is asked. */
    val manifestTimeout: Duration = 500.milliseconds,
    /** Timeout of a section fetch, after which another source is tried. */
    val sectionTimeout: Duration = 500.milliseconds,
    /** Delay before the next source is tried after one that lacks a section. */
    val sectionRetryDelay: Duration = 250.milliseconds,
    /** Number of peers that are asked for a section before the object store. */
    val sectionPeerAttempts: Int = 3,
    /** Maximum number of sections that are fetched concurrently. */
    val maxFetches: Int = 16,
    /** Maximum number of notices in one message. */
    val maxNoticesPerMessage: Int = 32,
    /** Maximum number of notices that are kept; those that expire first are dropped. */
    val maxNotices: Int = 4096,
    /** Interval at which the load of a zone is reported and sent to peers. */
    val loadInterval: Duration = 10.seconds
) {
    public companion object {
        /**
         * Settings for agents, which exchange messages with few entries and no other agent.
         *
         * Agents rarely read the table, because they do not know how many agents share the rate
         * of reads, and receive new versions from entries.
         */
        public val ForAgents: DisseminationSettings = DisseminationSettings(
            digestInterval = 2.seconds,
            isolationTimeout = 10.seconds,
            minReadInterval = 10.minutes,
            minUrgentReadInterval = 5.seconds,
            forwardsPushes = false
        )
    }
}
