package org.shallotplank.core.group

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.VersionedMap

/** Settings of a group's sequencer. */
public data class SequencerSettings(
    val ranks: Int,
    /** The map that a group uses when no rank reports one. */
    val initialMap: ExpertMap,
    /** Longest wait until all ranks have loaded the weights of a change. */
    val stageTimeout: Duration = 60.seconds,
    /** Longest wait until all ranks are armed; an armed rank may be blocked for that long. */
    val armTimeout: Duration = 1.seconds,
    /** Time for which a sequencer that was superseded by a newer one stays inactive. */
    val supersededBackoff: Duration = 10.seconds,
    /** Initial number of steps between the last known step and the armed one. */
    val marginSteps: Long = 4,
    /** Upper bound on the number of steps between the last known step and the armed one. */
    val maxMarginSteps: Long = 256
)

/** In-memory state of the agent of rank 0 for its group; lost when the agent restarts. */
@ConsistentCopyVisibility
public data class SequencerState internal constructor(
    val settings: SequencerSettings,
    val id: SequencerId,
    val incarnation: GroupIncarnation = GroupIncarnation(0, id),
    internal val members: PersistentList<Member> =
        List(settings.ranks) { Member() }.toPersistentList(),
    internal val phase: Phase = Phase.Gathering,
    /** The map that the group was last released with, or null before its first release. */
    val map: VersionedMap? = null,
    internal val highestVersion: MapVersion = MapVersion.None,
    internal val highestFencing: FencingNumber = FencingNumber.None,
    /** The step from which on [map] is in force. */
    internal val mapStep: Long = 0,
    /** The last step that was released or armed. */
    internal val lastStep: Long = 0,
    internal val marginSteps: Long = settings.marginSteps
) {
    /** Whether the group runs and no change is under way. */
    public val isIdle: Boolean get() = phase is Phase.Idle

    public companion object {
        /** The state of an agent of rank 0 that has just started. */
        public fun starting(settings: SequencerSettings, id: SequencerId): SequencerState =
            SequencerState(settings, id)
    }
}

/** State of one rank, as the sequencer observes it. */
internal data class Member(
    val session: SessionId? = null,
    /** Earlier sessions of the rank, whose late messages are ignored. */
    val formerSessions: PersistentList<SessionId> = persistentListOf(),
    val promised: GroupIncarnation = GroupIncarnation.None
) {
    fun withSession(next: SessionId): Member {
        if (session == null) return copy(session = next)
        return copy(
            session = next,
            formerSessions =
            (formerSessions + session).takeLast(MAX_FORMER_SESSIONS).toPersistentList()
        )
    }

    private companion object {
        const val MAX_FORMER_SESSIONS = 4
    }
}

/** Whether a sequencer is forming its group, changing the map, idle or superseded. */
internal sealed interface Phase {
    /** The proposal that is being carried out; null during a formation. */
    val proposal: ProposalId? get() = null

    /** No heartbeat of some rank has arrived yet. */
    data object Gathering : Phase

    /** Another sequencer has formed the group. */
    data class Superseded(val until: Instant) : Phase

    /** Ranks are asked to follow no lower incarnation and to hold their engines. */
    data class Preparing(
        val reports: PersistentMap<Rank, RankMessage.Prepared> = persistentMapOf()
    ) : Phase

    /** Ranks load [map]; if [formationStep] is set, they have been held since [Preparing]. */
    data class Staging(
        val map: VersionedMap,
        override val proposal: ProposalId?,
        val formationStep: Long?,
        val deadline: Instant,
        val done: PersistentSet<Rank> = persistentSetOf(),
        val enteredStep: Long = 0
    ) : Phase

    /** Ranks are asked not to enter [step] or any later step. */
    data class Arming(
        val map: VersionedMap,
        override val proposal: ProposalId?,
        val step: Long,
        val deadline: Instant,
        val done: PersistentSet<Rank> = persistentSetOf()
    ) : Phase

    /** [step] will run with [map]; the release is repeated until all ranks acknowledge it. */
    data class Releasing(
        val map: VersionedMap,
        val step: Long,
        override val proposal: ProposalId?,
        /** Why the change was abandoned, or null when [map] is the new map. */
        val abandoned: AbandonReason? = null,
        val done: PersistentSet<Rank> = persistentSetOf()
    ) : Phase

    /** The group runs and no change is in progress. */
    data object Idle : Phase
}

/** Events that [SequencerReducer] handles. */
public sealed interface SequencerEvent {
    /** The periodic timer fired. */
    public data object Tick : SequencerEvent

    /** [message] of the agent of a rank has arrived. */
    public data class Received(val message: RankMessage) : SequencerEvent

    /** A decision maker proposed another map. */
    public data class Proposed(val proposal: Proposal) : SequencerEvent
}

/** Side effects that [SequencerReducer] requests. */
public sealed interface SequencerEffect {
    /** Send [message] to the agent of [rank]. */
    public data class Send(val rank: Rank, val message: SequencerMessage) : SequencerEffect

    /** Send the [outcome] of a [proposal] to its decision maker. */
    public data class Answer(val proposal: ProposalId, val outcome: ProposalOutcome) :
        SequencerEffect

    /** Log that the group was formed in [incarnation] and runs [version] from [step] on. */
    public data class Formed(
        val incarnation: GroupIncarnation,
        val version: MapVersion,
        val step: Long
    ) : SequencerEffect
}
