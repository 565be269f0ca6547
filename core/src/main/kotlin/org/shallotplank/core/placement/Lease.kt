package org.shallotplank.core.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.Serializable

/** Row of a lease in the platform's table. */
@Serializable
public data class LeaseRow(val holder: String, val fencing: FencingNumber)

/** Settings of a lease. */
public data class LeaseSettings(
    /** Time for which a lease is valid, from the sending of the write that took or renewed it. */
    val duration: Duration = 15.seconds,
    /** Time between two renewals; also the timeout of a request, after which the row is read. */
    val renewalInterval: Duration = 5.seconds,
    /** Time that others wait beyond [duration], because clocks run at different rates. */
    val graceDuration: Duration = 2.seconds
)

/**
 * State that one process has of a lease.
 *
 * Processes do not compare their clocks: a process may take over a lease when it has seen the same
 * row version for [LeaseSettings.duration] and [LeaseSettings.graceDuration] by its own clock.
 */
@ConsistentCopyVisibility
public data class LeaseState internal constructor(
    val holder: String,
    internal val row: LeaseRow? = null,
    internal val rowVersion: Long = 0,
    internal val rowSeenAt: Instant? = null,
    internal val validUntil: Instant? = null,
    internal val request: LeaseRequest? = null,
    internal val lastRequest: Long = 0
) {
    /** Returns the lease's fencing number if this process holds it at [now], otherwise null. */
    public fun heldFencing(now: Instant): FencingNumber? {
        val isHeld = validUntil != null && now < validUntil && row?.holder == holder
        return if (isHeld) row?.fencing else null
    }

    public companion object {
        /** Returns the state before the first read; [holder] is unique to each process start. */
        public fun starting(holder: String): LeaseState = LeaseState(holder)
    }
}

/** A request to the table that has not been answered yet. */
internal data class LeaseRequest(
    val number: Long,
    val sentAt: Instant,
    val newRow: LeaseRow? = null
)

/** Answer of the platform's table. */
public sealed interface LeaseAnswer {
    /** The current row, null when absent, and its version. */
    public data class Found(val row: LeaseRow?, val version: Long) : LeaseAnswer

    /** The write succeeded and gave the row this [version]. */
    public data class Written(val version: Long) : LeaseAnswer

    /** The table did not answer; a write may have succeeded or not. */
    public data object Unavailable : LeaseAnswer
}

/** A request to the table; the runtime returns the answer with the same [number]. */
public sealed interface LeaseEffect {
    public val number: Long

    /** Read the row. */
    public data class Read(override val number: Long) : LeaseEffect

    /** Write [row] if the version still is [expectedVersion]; a conflict answers `Found`. */
    public data class Write(
        override val number: Long,
        val row: LeaseRow,
        val expectedVersion: Long
    ) : LeaseEffect
}
