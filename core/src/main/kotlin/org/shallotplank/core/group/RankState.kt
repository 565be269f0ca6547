package org.shallotplank.core.group

import kotlin.time.Instant
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.VersionedMap

/**
 * What the agent of one rank knows; lost when the agent restarts.
 *
 * [silentUntil] is when the last order of an earlier agent can no longer take effect; until then
 * the agent stays silent, so that what it reports of its engine holds.
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

/** What a rank has done within the incarnation that its agent promised to follow. */
internal data class RankProgress(
    val held: EngineAnswer? = null,
    val staged: VersionedMap? = null,
    val armedStep: Long? = null,
    /** The highest step of a release that has arrived, carried out or not. */
    val decidedStep: Long = Long.MIN_VALUE,
    val releasedStep: Long? = null
)

/** What happens to the agent of a rank. */
public sealed interface RankEvent {
    /** Time has passed. */
    public data object Tick : RankEvent

    /** [message] of the agent of rank 0 has arrived. */
    public data class Received(val message: SequencerMessage) : RankEvent

    /** The engine has answered [order]. */
    public data class EngineAnswered(val order: EngineOrder, val answer: EngineAnswer) : RankEvent

    /** [order] was not answered, may have taken effect, and can no longer do so. */
    public data class OrderExpired(val order: EngineOrder) : RankEvent

    /** The engine was found to be a new process. */
    public data object EngineRestarted : RankEvent
}

/** What the agent of a rank has to do. */
public sealed interface RankEffect {
    /** Send [message] to the agent of rank 0. */
    public data class Send(val message: RankMessage) : RankEffect

    /** Carry out [order] on the engine. */
    public data class Execute(val order: EngineOrder) : RankEffect
}
