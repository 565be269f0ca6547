package org.shallotplank.core.membership

import kotlin.time.Instant
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState

/** State of another instance as a process observes it. */
public enum class Liveness {
    /** On the platform's list; no heartbeat has arrived yet. */
    LISTED,

    /** The last heartbeat arrived within the suspicion timeout. */
    LIVE,

    /** Heartbeats are missing; gets no new work while other instances can take it. */
    SUSPECTED,

    /** Shutting down, according to its heartbeat, a notice or the list; gets no new work. */
    LEAVING,

    /** Heartbeats are missing and the list does not have the instance. */
    GONE
}

/** What a process knows of one instance from the list, heartbeats and notices. */
public data class Member(
    val id: InstanceId,
    /** The instance as it was last listed, or null if it never was. */
    val instance: Instance? = null,
    val isListed: Boolean = false,
    /** Highest incarnation reported; rises with each start, 0 before the first heartbeat. */
    val incarnation: Long = 0,
    /** Highest incarnation that is known to be leaving, or -1 if none is. */
    val leavingIncarnation: Long = -1,
    val lastContactAt: Instant? = null,
    val liveness: Liveness = Liveness.LISTED
) {
    /** Whether the instance is to get new work. */
    public val takesNewWork: Boolean get() = liveness == Liveness.LIVE

    internal val isLeaving: Boolean get() = leavingIncarnation >= incarnation

    internal val isListedAsLeaving: Boolean
        get() = isListed && instance?.state == InstanceState.LEAVING
}
