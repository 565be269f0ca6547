package org.shallotplank.core.membership

import kotlin.time.Instant
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState

/** What a process believes about another instance. */
public enum class Liveness {
    /** On the platform's list and not heard from yet. */
    LISTED,

    /** Heard from within the suspicion timeout. */
    LIVE,

    /** Heartbeats are missing; takes no new work while others can. */
    SUSPECTED,

    /** Shutting down, by its own word, a notice or the list; takes no new work. */
    LEAVING,

    /** Silent and no longer on the list. */
    GONE
}

/** One instance as the list, heartbeats and notices describe it together. */
public data class Member(
    val id: InstanceId,
    /** The last line of the list; null when the list has never had the instance. */
    val instance: Instance? = null,
    val isListed: Boolean = false,
    /** Rises with each start of the instance; 0 before the first heartbeat. */
    val incarnation: Long = 0,
    /** Highest incarnation that is known to be leaving; -1 for none. */
    val leavingIncarnation: Long = -1,
    val lastContactAt: Instant? = null,
    val liveness: Liveness = Liveness.LISTED
) {
    /** Whether new work may be given to the instance. */
    public val takesNewWork: Boolean get() = liveness == Liveness.LIVE

    internal val isLeaving: Boolean get() = leavingIncarnation >= incarnation

    internal val isListedAsLeaving: Boolean
        get() = isListed && instance?.state == InstanceState.LEAVING
}
