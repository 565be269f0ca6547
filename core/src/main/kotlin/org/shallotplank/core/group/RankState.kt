package org.shallotplank.core.group

import kotlin.time.Instant
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.VersionedMap

/**
 * In-memory state of the agent of one rank; lost when the agent restarts.
 *
 * [silentUntil] is the time from which no order of an earlier agent process can take effect. Until
 * then the agent sends nothing, so that a late order cannot invalidate what it reports of its
 * engine.
 */
@ConsistentCopyVisibility
public data class RankState internal constructor(
    val rank: Rank,
    val session: SessionId,
    val silentUntil: Instant,
    val promised: GroupIncarnation = GroupIncarnation.None,
    internal val progress: RankProgress = RankProgress(),
    internal val pendingOrder: EngineOrder? = null,
    internal val nextOrder: EngineOrder? = null,
    internal val highestVersion: MapVersion = MapVersion.None,
    internal val highestFencing: FencingNumber = FencingNumber.None,
    internal val releasedMap: VersionedMap? = null
) {
    public companion object {
        /** The state of an agent that has just started. */
        public fun starting(rank: Rank, session: SessionId, silentUntil: Instant): RankState =
            RankState(rank, session, silentUntil)
    }
}

/** Progress of a rank within the incarnation that its agent promised to follow. */
internal data class RankProgress(
    val held: EngineAnswer? = null,
    val staged: VersionedMap? = null,
    val armedStep: Long? = null,
    /** The highest step of any release that has arrived, executed or not. */
    val decidedStep: Long = Long.MIN_VALUE,
    val releasedStep: Long? = null
)

/** Events that [RankReducer] handles. */
public sealed interface RankEvent {
    /** The periodic timer fired. */
    public data object Tick : RankEvent

    /** [message] of the agent of rank 0 has arrived. */
    public data class Received(val message: SequencerMessage) : RankEvent

    /** The engine has answered [order]. */
    public data class EngineAnswered(val order: EngineOrder, val answer: EngineAnswer) : RankEvent

    /** [order] got no answer; it may have taken effect but can no longer do so. */
    public data class OrderExpired(val order: EngineOrder) : RankEvent

    /** The agent detected that the engine process was replaced. */
    public data object EngineRestarted : RankEvent
}

/** Side effects that [RankReducer] requests. */
public sealed interface RankEffect {
    /** Send [message] to the agent of rank 0. */
    public data class Send(val message: RankMessage) : RankEffect

    /** Execute [order] on the engine. */
    public data class Execute(val order: EngineOrder) : RankEffect
}
