package org.shallotplank.core.membership

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId

/** Events that [Membership] handles. */
public sealed interface MembershipEvent {
    public val now: Instant

    /** Periodic event that applies timeouts. */
    public data class Tick(override val now: Instant) : MembershipEvent

    /** The platform's list was read. A failed read causes no event and changes nothing. */
    public data class ListRead(override val now: Instant, val instances: PersistentList<Instance>) :
        MembershipEvent

    /**
     * A heartbeat, or any other message that shows that the instance runs, arrived.
     *
     * Heartbeats of an [incarnation] older than the known one are ignored.
     */
    public data class HeartbeatReceived(
        override val now: Instant,
        val id: InstanceId,
        val incarnation: Long,
        val isLeaving: Boolean = false
    ) : MembershipEvent

    /** A notice that [incarnation] of the instance is leaving arrived; see `Notice.Leaving`. */
    public data class LeavingNoticed(
        override val now: Instant,
        val id: InstanceId,
        val incarnation: Long
    ) : MembershipEvent
}

/** Side effects that [Membership] requests. */
public sealed interface MembershipEffect {
    /** The liveness of an instance changed; [from] is null for a new member. */
    public data class LivenessChanged(val id: InstanceId, val from: Liveness?, val to: Liveness) :
        MembershipEffect

    /** The instance restarted, so its earlier warm-up state and load no longer apply. */
    public data class Restarted(val id: InstanceId, val incarnation: Long) : MembershipEffect

    /** Instances joined, left or changed, so peers and candidates have to be chosen again. */
    public data object SelectionDue : MembershipEffect
}
