package org.shallotplank.core.placement

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Step
import org.shallotplank.core.group.Proposal
import org.shallotplank.core.group.ProposalId
import org.shallotplank.core.group.ProposalOutcome
import org.shallotplank.core.then

/**
 * Decides when a group changes its expert map, and to which map.
 *
 * Any number of processes may run it for the same group: only the lease holder proposes maps, and
 * the group's sequencer refuses the fencing numbers of earlier holders. While the table is
 * unavailable, the lease expires and the group keeps its current map.
 */
public class PlacementReducer(
    private val settings: PlacementSettings,
    leaseSettings: LeaseSettings = LeaseSettings()
) {
    private val leases = LeaseReducer(leaseSettings)
    private val planner = MapPlanner(settings)

    /** Returns the state after [event], which happened at [now], and its effects. */
    public fun reduce(
        state: PlacementState,
        event: PlacementEvent,
        now: Instant
    ): Step<PlacementState, PlacementEffect> = when (event) {
        is PlacementEvent.Tick -> tickLease(state, now).then { decideWhenDue(it, now) }

        is PlacementEvent.Observed -> Step(observe(state, event, now))

        is PlacementEvent.MapInForce -> Step(mapInForce(state, event.map))

        is PlacementEvent.LeaseAnswered -> {
            val lease = leases.answered(state.lease, event.number, event.answer, now)
            Step(state.copy(lease = lease))
        }

        is PlacementEvent.ProposalAnswered -> Step(proposalAnswered(state, event))
    }

    private fun tickLease(
        state: PlacementState,
        now: Instant
    ): Step<PlacementState, PlacementEffect> {
        val step = leases.tick(state.lease, now)
        val effects = step.effects.map { PlacementEffect.Table(it) }
        return Step(state.copy(lease = step.state), effects.toPersistentList())
    }

    private fun observe(
        state: PlacementState,
        event: PlacementEvent.Observed,
        now: Instant
    ): PlacementState = state.copy(
        popularity = state.popularity.plus(event.tokens, now, settings.popularityHalfLife),
        speeds = state.map?.let { updatedSpeeds(state.speeds, it.map, event) } ?: state.speeds
    )

    private fun updatedSpeeds(
        speeds: RankSpeeds,
        map: ExpertMap,
        event: PlacementEvent.Observed
    ): RankSpeeds {
        if (event.tokens.size != map.layers.size) return speeds
        val loads = DoubleArray(speeds.size)
        map.layers.forEachIndexed { layer, placement ->
            val tokens = event.tokens[layer]
            placement.rankLoads(DoubleArray(tokens.size) { tokens[it].toDouble() })
                .forEachIndexed { rank, load -> loads[rank] += load }
        }
        return speeds.plus(loads, event.busy, settings.speedWeight)
    }

    private fun mapInForce(state: PlacementState, map: VersionedMap): PlacementState {
        val known = state.map
        if (known != null && map.version <= known.version) return state
        return state.copy(map = map, openProposal = null)
    }

    private fun decideWhenDue(
        state: PlacementState,
        now: Instant
    ): Step<PlacementState, PlacementEffect> {
        val isDue = now >= state.nextDecisionAt && !isProposalPending(state, now)
        if (!isDue || !state.popularity.isKnown) return Step(state)
        val fencing = state.lease.heldFencing(now) ?: return Step(state)
        val map = state.map ?: return Step(state)
        return decide(state.copy(nextDecisionAt = now + settings.interval), map, fencing, now)
    }

    private fun isProposalPending(state: PlacementState, now: Instant): Boolean {
        val open = state.openProposal ?: return false
        return now - open.sentAt < settings.proposalTimeout
    }

    private fun decide(
        state: PlacementState,
        map: VersionedMap,
        fencing: FencingNumber,
        now: Instant
    ): Step<PlacementState, PlacementEffect> {
        val minGain = settings.minGainAt(state.storeUse)
        val plan = planner.plan(map.map, state.popularity, state.speeds, minGain)
        val storeUse = settings.storeUseAfter(state.storeUse, plan?.expertsLoaded ?: 0)
        val counted = state.copy(storeUse = storeUse)
        if (plan == null) {
            val kept = PlacementDecision.Kept(map.version)
            return Step(counted, persistentListOf(PlacementEffect.Explain(kept)))
        }
        val decision = PlacementDecision.Proposed(map.version, fencing, plan)
        val id = ProposalId(state.lease.holder, number = state.proposalsMade + 1)
        val proposing = counted.copy(
            openProposal = OpenProposal(id, plan.map, sentAt = now),
            proposalsMade = id.number
        )
        val proposal = Proposal(id, fencing, map.version, plan.map)
        return Step(
            proposing,
            persistentListOf(
                PlacementEffect.Explain(decision),
                PlacementEffect.Propose(proposal)
            )
        )
    }

    private fun proposalAnswered(
        state: PlacementState,
        event: PlacementEvent.ProposalAnswered
    ): PlacementState {
        val open = state.openProposal?.takeIf { it.id == event.proposal } ?: return state
        val closed = state.copy(openProposal = null)
        return when (val outcome = event.outcome) {
            is ProposalOutcome.Applied ->
                mapInForce(closed, VersionedMap(outcome.version, open.map))

            is ProposalOutcome.Fenced -> closed.copy(lease = leases.lost(closed.lease))

            is ProposalOutcome.Outdated,
            is ProposalOutcome.Busy,
            is ProposalOutcome.Abandoned -> closed
        }
    }
}
