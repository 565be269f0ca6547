package org.shallotplank.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId

/** The instances that a process knows, by id. */
public data class MembershipState(
    val members: PersistentMap<InstanceId, Member> = persistentMapOf(),
    internal val lastEventAt: Instant? = null
) {
    /** The instances that peers and candidates are chosen from. */
    public val selectable: List<Instance>
        get() = members.values
            .filter { it.liveness != Liveness.GONE && it.liveness != Liveness.LEAVING }
            .mapNotNull { it.instance }
}

/** Time limits of membership. */
public data class MembershipSettings(
    /** Number of heartbeat intervals without contact after which an instance is suspected. */
    val missedHeartbeats: Int = 3,
    val heartbeatInterval: Duration = 1.seconds,
    /** Longest gap between two events that does not count as a suspension of this process. */
    val pauseLimit: Duration = 3.seconds,
    /** Time since the last contact after which the incarnation of a gone instance is forgotten. */
    val forgetTimeout: Duration = 10.minutes
) {
    internal val suspicionTimeout: Duration get() = heartbeatInterval * missedHeartbeats
}
