package org.shallotplank.core.group

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step

/**
 * The sequencer role of the agent of rank 0: forms the group and coordinates changes of its map.
 *
 * A change has three rounds, each of which needs the acknowledgement of all ranks: stage the
 * weights, arm for a step, release that step. Until the release is decided, the change can be
 * abandoned by releasing the step with the map in force. A formation first holds all ranks, then
 * stages and releases one map for a step that no rank has entered.
 */
public object SequencerReducer {
    /** Returns the state after [event], which happened at [now], and the effects. */
    public fun reduce(
        state: SequencerState,
        event: SequencerEvent,
        now: Instant
    ): Step<SequencerState, SequencerEffect> = when (event) {
        is SequencerEvent.Tick -> tick(state, now)
        is SequencerEvent.Received -> receive(state, event.message, now)
        is SequencerEvent.Proposed -> propose(state, event.proposal, now)
    }

    private fun tick(state: SequencerState, now: Instant): Step<SequencerState, SequencerEffect> {
        val phase = state.phase
        return when {
            phase is Phase.Superseded && now >= phase.until ->
                SequencerFormation.gather(state)

            phase is Phase.Gathering -> SequencerFormation.formWhenComplete(state)

            phase is Phase.Staging && phase.formationStep == null && now >= phase.deadline ->
                abandonStaging(state, phase)

            phase is Phase.Arming && now >= phase.deadline ->
                SequencerRounds.abandon(state, phase, AbandonReason.ARM_TIMEOUT)

            else -> Step(state, SequencerRounds.outstanding(state))
        }
    }

    private fun abandonStaging(
        state: SequencerState,
        phase: Phase.Staging
    ): Step<SequencerState, SequencerEffect> {
        val proposal = checkNotNull(phase.proposal) { "a formation has no stage timeout" }
        val outcome = ProposalOutcome.Abandoned(AbandonReason.STAGE_TIMEOUT)
        return Step(state.copy(phase = Phase.Idle), answer(proposal, outcome))
    }

    private fun receive(
        state: SequencerState,
        message: RankMessage,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val member = state.members.getOrNull(message.rank.index) ?: return Step(state)
        if (message is RankMessage.Heartbeat) {
            return SequencerFormation.heartbeat(state, member, message, now)
        }
        if (message.session != member.session) return Step(state)
        return when (message) {
            is RankMessage.Refused -> SequencerFormation.refused(state, message.promised, now)
            is RankMessage.Prepared -> SequencerFormation.prepared(state, message, now)
            is RankMessage.Staged -> SequencerRounds.staged(state, message, now)
            is RankMessage.Armed -> SequencerRounds.armed(state, message)
            is RankMessage.Released -> SequencerRounds.released(state, message)
            is RankMessage.Heartbeat -> Step(state)
        }
    }

    private fun propose(
        state: SequencerState,
        proposal: Proposal,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        if (proposal.id == state.phase.proposal) return Step(state)
        val refusal = refusalOf(state, proposal)
        if (refusal != null) return Step(state, answer(proposal.id, refusal))
        return SequencerRounds.stage(
            state = state.copy(highestFencing = proposal.fencing),
            map = proposal.map,
            proposal = proposal.id,
            formationStep = null,
            now = now
        )
    }

    private fun refusalOf(state: SequencerState, proposal: Proposal): ProposalOutcome? {
        val current = state.map?.version
        return when {
            proposal.fencing < state.highestFencing -> ProposalOutcome.Fenced(state.highestFencing)
            !state.isIdle || current == null -> ProposalOutcome.Busy
            proposal.basedOn != current -> ProposalOutcome.Outdated(current)
            else -> null
        }
    }

    private fun answer(proposal: ProposalId, outcome: ProposalOutcome) =
        persistentListOf<SequencerEffect>(SequencerEffect.Answer(proposal, outcome))
}
