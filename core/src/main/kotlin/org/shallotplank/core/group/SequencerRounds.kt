package org.shallotplank.core.group

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Step
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.VersionedMap

/** The rounds of a change: stage, arm, release. */
internal object SequencerRounds {
    /** Starts the stage round for [map] under a new version; two maps never share a version. */
    fun stage(
        state: SequencerState,
        map: ExpertMap,
        proposal: ProposalId?,
        formationStep: Long?,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val version = state.highestVersion.next()
        val phase = Phase.Staging(
            map = VersionedMap(version, map),
            proposal = proposal,
            formationStep = formationStep,
            deadline = now + state.settings.stageTimeout
        )
        return enter(state.copy(highestVersion = version), phase)
    }

    /**
     * Handles the acknowledgement of a staging.
     *
     * During a change, ignores it until the rank runs the map in force.
     */
    fun staged(
        state: SequencerState,
        message: RankMessage.Staged,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val phase = state.phase
        if (phase !is Phase.Staging || !acknowledges(state, phase, message)) return Step(state)
        val next = phase.copy(
            done = phase.done + message.rank,
            enteredStep = maxOf(phase.enteredStep, message.enteredStep)
        )
        if (!isComplete(state, next.done)) return Step(state.copy(phase = next))
        if (next.formationStep != null) {
            return decide(
                state,
                Phase.Releasing(next.map, next.formationStep, proposal = null)
            )
        }
        return arm(state, next, now)
    }

    private fun acknowledges(
        state: SequencerState,
        phase: Phase.Staging,
        message: RankMessage.Staged
    ): Boolean {
        val runsMapInForce = phase.formationStep != null || message.enteredStep >= state.mapStep
        return message.incarnation == state.incarnation &&
            message.version == phase.map.version &&
            runsMapInForce
    }

    private fun arm(
        state: SequencerState,
        staged: Phase.Staging,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val step = maxOf(staged.enteredStep, state.lastStep) + state.marginSteps
        val phase = Phase.Arming(
            map = staged.map,
            proposal = staged.proposal,
            step = step,
            deadline = now + state.settings.armTimeout
        )
        return enter(state.copy(lastStep = step), phase)
    }

    /** Handles the acknowledgement of an arming; once all ranks are armed, releases the new map. */
    fun armed(
        state: SequencerState,
        message: RankMessage.Armed
    ): Step<SequencerState, SequencerEffect> {
        val phase = state.phase
        if (phase !is Phase.Arming || message.incarnation != state.incarnation) return Step(state)
        val done = phase.done + message.rank
        return when {
            message.step != phase.step -> Step(state)
            message.enteredStep >= phase.step -> abandonLate(state, phase)
            !isComplete(state, done) -> Step(state.copy(phase = phase.copy(done = done)))
            else -> decide(state, Phase.Releasing(phase.map, phase.step, phase.proposal))
        }
    }

    private fun abandonLate(
        state: SequencerState,
        phase: Phase.Arming
    ): Step<SequencerState, SequencerEffect> {
        val margin = minOf(state.marginSteps * 2, state.settings.maxMarginSteps)
        return abandon(state.copy(marginSteps = margin), phase, AbandonReason.ARMED_TOO_LATE)
    }

    /** Abandons the change: decides that the armed step runs with the map in force. */
    fun abandon(
        state: SequencerState,
        phase: Phase.Arming,
        reason: AbandonReason
    ): Step<SequencerState, SequencerEffect> {
        val current = checkNotNull(state.map) { "arming without a map in force" }
        return decide(state, Phase.Releasing(current, phase.step, phase.proposal, reason))
    }

    private fun decide(
        state: SequencerState,
        phase: Phase.Releasing
    ): Step<SequencerState, SequencerEffect> {
        val decided = state.copy(lastStep = phase.step)
        if (phase.abandoned != null) return enter(decided, phase)
        return enter(decided.copy(map = phase.map, mapStep = phase.step), phase)
    }

    /** Handles the acknowledgement of a release; the change is complete once all ranks sent it. */
    fun released(
        state: SequencerState,
        message: RankMessage.Released
    ): Step<SequencerState, SequencerEffect> {
        val phase = state.phase
        if (phase !is Phase.Releasing || message.incarnation != state.incarnation) {
            return Step(state)
        }
        if (message.step != phase.step) return Step(state)
        val done = phase.done + message.rank
        if (!isComplete(state, done)) return Step(state.copy(phase = phase.copy(done = done)))
        return Step(state.copy(phase = Phase.Idle), persistentListOf(outcome(state, phase)))
    }

    private fun outcome(state: SequencerState, phase: Phase.Releasing): SequencerEffect {
        val proposal = phase.proposal
            ?: return SequencerEffect.Formed(state.incarnation, phase.map.version, phase.step)
        val outcome = phase.abandoned?.let { ProposalOutcome.Abandoned(it) }
            ?: ProposalOutcome.Applied(phase.map.version, phase.step)
        return SequencerEffect.Answer(proposal, outcome)
    }

    /** The messages of the current round to the ranks that have not acknowledged it. */
    fun outstanding(state: SequencerState): PersistentList<SequencerEffect> {
        val done = acknowledged(state.phase)
        return state.members
            .mapIndexedNotNull { index, member -> member.session?.let { Rank(index) to it } }
            .filter { (rank, _) -> rank !in done }
            .mapNotNull { (rank, session) ->
                request(state, session)?.let { SequencerEffect.Send(rank, it) }
            }
            .toPersistentList()
    }

    private fun acknowledged(phase: Phase): Set<Rank> = when (phase) {
        is Phase.Preparing -> phase.reports.keys
        is Phase.Staging -> phase.done
        is Phase.Arming -> phase.done
        is Phase.Releasing -> phase.done
        else -> emptySet()
    }

    private fun request(state: SequencerState, session: SessionId): SequencerMessage? {
        val incarnation = state.incarnation
        return when (val phase = state.phase) {
            is Phase.Preparing -> SequencerMessage.Prepare(incarnation, session)

            is Phase.Staging ->
                SequencerMessage.Stage(incarnation, session, phase.map, state.highestFencing)

            is Phase.Arming ->
                SequencerMessage.Arm(incarnation, session, phase.map.version, phase.step)

            is Phase.Releasing ->
                SequencerMessage.Release(incarnation, session, phase.map.version, phase.step)

            else -> null
        }
    }

    private fun isComplete(state: SequencerState, done: PersistentSet<Rank>): Boolean =
        done.size == state.settings.ranks

    private fun enter(state: SequencerState, phase: Phase): Step<SequencerState, SequencerEffect> {
        val next = state.copy(phase = phase)
        return Step(next, outstanding(next))
    }
}
