package org.shallotplank.core.group

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step
import org.shallotplank.core.placement.VersionedMap
import org.shallotplank.core.then

/** Forms a group in a new incarnation, and yields to a newer sequencer. */
internal object SequencerFormation {
    /** Waits for the heartbeats of all ranks. */
    fun gather(state: SequencerState): Step<SequencerState, SequencerEffect> =
        Step(state.copy(phase = Phase.Gathering))

    /** Starts a formation once a heartbeat of every rank has arrived. */
    fun formWhenComplete(state: SequencerState): Step<SequencerState, SequencerEffect> {
        if (state.members.any { it.session == null }) return gather(state)
        val highest = maxOf(state.incarnation.number, state.members.maxOf { it.promised.number })
        val forming = state.copy(
            incarnation = GroupIncarnation(highest + 1, state.id),
            phase = Phase.Preparing()
        )
        return Step(forming, SequencerRounds.outstanding(forming))
    }

    /** Handles a heartbeat; a new session of a rank requires a new incarnation of the group. */
    fun heartbeat(
        state: SequencerState,
        member: Member,
        message: RankMessage.Heartbeat,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        if (message.session in member.formerSessions) return Step(state)
        val isNew = message.session != member.session
        val current = if (isNew) member.withSession(message.session) else member
        val updated = current.copy(promised = maxOf(current.promised, message.promised))
        val known = state.copy(members = state.members.set(message.rank.index, updated))
        val phase = state.phase
        return when {
            phase is Phase.Superseded -> Step(known)
            phase is Phase.Gathering -> formWhenComplete(known)
            message.promised > state.incarnation -> refused(known, message.promised, now)
            isNew -> restartFormation(known)
            else -> Step(known)
        }
    }

    private fun restartFormation(state: SequencerState): Step<SequencerState, SequencerEffect> =
        Step(state, abandonProposal(state.phase)).then { formWhenComplete(it) }

    /**
     * Handles a refusal: yields to the sequencer of [promised], or, while still preparing, retries
     * with a higher incarnation.
     */
    fun refused(
        state: SequencerState,
        promised: GroupIncarnation,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        if (promised <= state.incarnation || state.phase is Phase.Superseded) return Step(state)
        if (state.phase is Phase.Preparing) {
            val raised = state.incarnation.copy(number = promised.number)
            return gather(state.copy(incarnation = raised))
        }
        val superseded = Phase.Superseded(now + state.settings.supersededBackoff)
        return Step(state.copy(phase = superseded), abandonProposal(state.phase))
    }

    private fun abandonProposal(phase: Phase): PersistentList<SequencerEffect> {
        val proposal = phase.proposal ?: return persistentListOf()
        val outcome = ProposalOutcome.Abandoned(AbandonReason.GROUP_LOST)
        return persistentListOf(SequencerEffect.Answer(proposal, outcome))
    }

    /** Handles the promise of a rank; stages the newest known map once all ranks have promised. */
    fun prepared(
        state: SequencerState,
        message: RankMessage.Prepared,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val phase = state.phase
        if (phase !is Phase.Preparing || message.incarnation != state.incarnation) {
            return Step(state)
        }
        val reports = phase.reports.mutate { it[message.rank] = message }
        if (reports.size < state.settings.ranks) {
            return Step(state.copy(phase = Phase.Preparing(reports)))
        }
        return stageKnownMap(state, reports, now)
    }

    private fun stageKnownMap(
        state: SequencerState,
        reports: PersistentMap<Rank, RankMessage.Prepared>,
        now: Instant
    ): Step<SequencerState, SequencerEffect> {
        val learned = state.copy(
            highestVersion = maxOf(
                state.highestVersion,
                reports.values.maxOf { it.highestVersion }
            ),
            highestFencing = maxOf(state.highestFencing, reports.values.maxOf { it.highestFencing })
        )
        val map = newestMap(state, reports)?.map ?: state.settings.initialMap
        val firstFreeStep = maxOf(state.lastStep, reports.values.maxOf { it.step }) + 1
        return SequencerRounds.stage(
            state = learned,
            map = map,
            proposal = null,
            formationStep = firstFreeStep,
            now = now
        )
    }

    private fun newestMap(
        state: SequencerState,
        reports: PersistentMap<Rank, RankMessage.Prepared>
    ): VersionedMap? =
        (reports.values.mapNotNull { it.map } + listOfNotNull(state.map)).maxByOrNull { it.version }
}
