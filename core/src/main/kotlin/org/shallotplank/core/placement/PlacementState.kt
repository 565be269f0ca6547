package org.shallotplank.core.placement

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.group.Proposal
import org.shallotplank.core.group.ProposalId
import org.shallotplank.core.group.ProposalOutcome

/** State of one process that may become the lease holder of a group. */
@ConsistentCopyVisibility
public data class PlacementState internal constructor(
    val lease: LeaseState,
    val popularity: ExpertPopularity,
    val speeds: RankSpeeds,
    /** The map in force, as far as this process knows. */
    val map: VersionedMap? = null,
    internal val nextDecisionAt: Instant = Instant.DISTANT_PAST,
    internal val openProposal: OpenProposal? = null,
    internal val proposalsMade: Long = 0,
    /** Exponentially weighted average of the use of the weight store, 0.0 to 1.0. */
    internal val storeUse: Double = 0.0
) {
    public companion object {
        /** Returns the state at the start; [holder] is unique to each process start. */
        public fun starting(holder: String, shape: RankGroupShape): PlacementState = PlacementState(
            lease = LeaseState.starting(holder),
            popularity = ExpertPopularity.unknown(shape.layers, shape.expertsPerLayer),
            speeds = RankSpeeds.equal(shape.ranks)
        )
    }
}

/** A proposal whose outcome is not known yet. */
internal data class OpenProposal(val id: ProposalId, val map: ExpertMap, val sentAt: Instant)

/** Events that [PlacementReducer] handles. */
public sealed interface PlacementEvent {
    /** Time has passed. */
    public data object Tick : PlacementEvent

    /** Measurements of one window: tokens by layer and expert, busy time by rank. */
    public data class Observed(val tokens: List<IntArray>, val busy: List<Duration>) :
        PlacementEvent

    /** The group runs [map]. */
    public data class MapInForce(val map: VersionedMap) : PlacementEvent

    /** The platform's table has answered request [number] about the lease. */
    public data class LeaseAnswered(val number: Long, val answer: LeaseAnswer) : PlacementEvent

    /** The sequencer of the group has answered [proposal]. */
    public data class ProposalAnswered(val proposal: ProposalId, val outcome: ProposalOutcome) :
        PlacementEvent
}

/** Side effects that [PlacementReducer] requests. */
public sealed interface PlacementEffect {
    /** Carry out [request] on the platform's table. */
    public data class Table(val request: LeaseEffect) : PlacementEffect

    /** Send [proposal] to the sequencer of the group. */
    public data class Propose(val proposal: Proposal) : PlacementEffect

    /** Log [decision]. */
    public data class Explain(val decision: PlacementDecision) : PlacementEffect
}

/** Decision and its reason, for a log line. */
public sealed interface PlacementDecision {
    /** The map was kept because no change gains enough. */
    public data class Kept(val version: MapVersion) : PlacementDecision

    /** A change was proposed under lease [fencing]; [plan] lists the evaluated candidates. */
    public data class Proposed(
        val basedOn: MapVersion,
        val fencing: FencingNumber,
        val plan: MapPlan
    ) : PlacementDecision
}
