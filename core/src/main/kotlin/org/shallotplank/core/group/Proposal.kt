package org.shallotplank.core.group

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.MapVersion

/** Identity of a proposal: the lease [holder] and the number that it assigned. */
@Serializable
public data class ProposalId(val holder: String, val number: Long)

/**
 * A decision maker's request to change the map of a group.
 *
 * [fencing] is the number of the lease under which the decision was made, [basedOn] the version of
 * the map from which it was made.
 */
@Serializable
public data class Proposal(
    val id: ProposalId,
    val fencing: FencingNumber,
    val basedOn: MapVersion,
    val map: ExpertMap
)

/** Answer of the sequencer to a [Proposal]. */
@Serializable
public sealed interface ProposalOutcome {
    /** All ranks were released with [version] from [step] on. */
    @Serializable
    @SerialName("applied")
    public data class Applied(val version: MapVersion, val step: Long) : ProposalOutcome

    /** A newer lease exists, so the decision maker no longer holds the lease. */
    @Serializable
    @SerialName("fenced")
    public data class Fenced(val highest: FencingNumber) : ProposalOutcome

    /** The map in force is [current], not the one that the proposal was based on. */
    @Serializable
    @SerialName("outdated")
    public data class Outdated(val current: MapVersion) : ProposalOutcome

    /** The group is forming, or another change is in progress. */
    @Serializable
    @SerialName("busy")
    public data object Busy : ProposalOutcome

    /** The change was abandoned and the group continues with its previous map. */
    @Serializable
    @SerialName("abandoned")
    public data class Abandoned(val reason: AbandonReason) : ProposalOutcome
}

/** Why a change was abandoned. */
@Serializable
public enum class AbandonReason {
    /** A rank did not load the weights in time. */
    STAGE_TIMEOUT,

    /** A rank did not acknowledge the arming in time. */
    ARM_TIMEOUT,

    /** A rank had entered the step before it was armed for it. */
    ARMED_TOO_LATE,

    /** The group had to be re-formed. */
    GROUP_LOST
}
