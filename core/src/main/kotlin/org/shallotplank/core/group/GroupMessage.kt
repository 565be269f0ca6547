package org.shallotplank.core.group

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.VersionedMap

/** A message between the agents of a rank group. */
@Serializable
public sealed interface GroupMessage {
    /** The session of the rank's agent that sends or receives the message. */
    public val session: SessionId
}

/** A message of the agent of rank 0 to the agent of a rank; only [session] handles it. */
@Serializable
public sealed interface SequencerMessage : GroupMessage {
    public val incarnation: GroupIncarnation

    /** Asks to follow no lower incarnation and to enter no further step until released. */
    @Serializable
    @SerialName("prepare")
    public data class Prepare(
        override val incarnation: GroupIncarnation,
        override val session: SessionId
    ) : SequencerMessage

    /** Asks to load the weights of [map] in addition to those in use. */
    @Serializable
    @SerialName("stage")
    public data class Stage(
        override val incarnation: GroupIncarnation,
        override val session: SessionId,
        val map: VersionedMap,
        val fencing: FencingNumber
    ) : SequencerMessage

    /** Asks not to enter [step] or any later step until released. */
    @Serializable
    @SerialName("arm")
    public data class Arm(
        override val incarnation: GroupIncarnation,
        override val session: SessionId,
        val version: MapVersion,
        val step: Long
    ) : SequencerMessage

    /** Allows the rank to enter [step] and all later steps with [version]. */
    @Serializable
    @SerialName("release")
    public data class Release(
        override val incarnation: GroupIncarnation,
        override val session: SessionId,
        val version: MapVersion,
        val step: Long
    ) : SequencerMessage
}

/** A message of the agent of [rank] to the agent of rank 0. */
@Serializable
public sealed interface RankMessage : GroupMessage {
    public val rank: Rank

    /** Heartbeat with the highest incarnation that the agent has promised to follow. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        override val rank: Rank,
        override val session: SessionId,
        val promised: GroupIncarnation
    ) : RankMessage

    /** Answers a message of a lower incarnation than [promised]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        override val rank: Rank,
        override val session: SessionId,
        val promised: GroupIncarnation
    ) : RankMessage

    /** Acknowledges [SequencerMessage.Prepare]: the engine is held after [step]. */
    @Serializable
    @SerialName("prepared")
    public data class Prepared(
        override val rank: Rank,
        override val session: SessionId,
        val incarnation: GroupIncarnation,
        /** The last step that the engine entered. */
        val step: Long,
        /** The highest version that the agent has seen or the engine uses. */
        val highestVersion: MapVersion,
        val highestFencing: FencingNumber,
        /** The map of the last release of the rank, or null when unknown. */
        val map: VersionedMap?
    ) : RankMessage

    /** Acknowledges [SequencerMessage.Stage]: the weights of [version] are loaded. */
    @Serializable
    @SerialName("staged")
    public data class Staged(
        override val rank: Rank,
        override val session: SessionId,
        val incarnation: GroupIncarnation,
        val version: MapVersion,
        /** The last step that the engine had entered by then. */
        val enteredStep: Long
    ) : RankMessage

    /** Acknowledges [SequencerMessage.Arm]; too late when [enteredStep] is not below [step]. */
    @Serializable
    @SerialName("armed")
    public data class Armed(
        override val rank: Rank,
        override val session: SessionId,
        val incarnation: GroupIncarnation,
        val step: Long,
        val enteredStep: Long
    ) : RankMessage

    /** Acknowledges [SequencerMessage.Release]. */
    @Serializable
    @SerialName("released")
    public data class Released(
        override val rank: Rank,
        override val session: SessionId,
        val incarnation: GroupIncarnation,
        val step: Long
    ) : RankMessage
}
