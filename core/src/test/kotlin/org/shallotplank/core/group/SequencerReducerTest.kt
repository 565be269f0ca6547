package org.shallotplank.core.group

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.LayerPlacement
import org.shallotplank.core.placement.MapVersion

class SequencerReducerTest {
    private val now = Instant.fromEpochSeconds(0)
    private val session = SessionId(agent = 1)
    private val rank = Rank(0)
    private var state = SequencerState.starting(
        SequencerSettings(ranks = 1, initialMap = map(0)),
        SequencerId(7)
    )

    private fun map(expert: Int) =
        ExpertMap(persistentListOf(LayerPlacement(1, persistentListOf(expert))))

    private fun receive(message: RankMessage) = reduce(SequencerEvent.Received(message))

    private fun reduce(event: SequencerEvent, at: Instant = now): List<SequencerEffect> {
        val step = SequencerReducer.reduce(state, event, at)
        state = step.state
        return step.effects
    }

    private fun propose(fencing: Long, basedOn: Long): List<SequencerEffect> {
        val id = ProposalId("life-1", number = 1)
        val proposal = Proposal(id, FencingNumber(fencing), MapVersion(basedOn), map(1))
        return reduce(SequencerEvent.Proposed(proposal))
    }

    private fun outcomes(effects: List<SequencerEffect>) =
        effects.filterIsInstance<SequencerEffect.Answer>().map { it.outcome }

    private fun form() {
        receive(RankMessage.Heartbeat(rank, session, GroupIncarnation.None))
        val group = state.incarnation
        receive(
            RankMessage.Prepared(
                rank = rank,
                session = session,
                incarnation = group,
                step = 0,
                highestVersion = MapVersion(4),
                highestFencing = FencingNumber(8),
                map = null
            )
        )
        receive(RankMessage.Staged(rank, session, group, MapVersion(5), enteredStep = 0))
        receive(RankMessage.Released(rank, session, group, step = 1))
    }

    private fun stage() =
        receive(RankMessage.Staged(rank, session, state.incarnation, MapVersion(6), 1))

    private fun armed(enteredStep: Long) =
        receive(RankMessage.Armed(rank, session, state.incarnation, step = 5, enteredStep))

    private fun released() =
        receive(RankMessage.Released(rank, session, state.incarnation, step = 5))

    @Nested
    inner class Proposals {
        @Test
        fun `are refused below the highest fencing number that a rank reported`() {
            form()
            val fenced = ProposalOutcome.Fenced(FencingNumber(8))
            assertEquals(listOf<ProposalOutcome>(fenced), outcomes(propose(7, basedOn = 5)))
        }

        @Test
        fun `are refused when they are based on another map version`() {
            form()
            val outdated = ProposalOutcome.Outdated(MapVersion(5))
            assertEquals(listOf<ProposalOutcome>(outdated), outcomes(propose(9, basedOn = 4)))
        }

        @Test
        fun `are applied once every rank has staged, armed and released`() {
            form()
            propose(9, basedOn = 5)
            stage()
            armed(enteredStep = 4)
            val applied = ProposalOutcome.Applied(MapVersion(6), step = 5)
            assertEquals(listOf<ProposalOutcome>(applied), outcomes(released()))
        }
    }

    @Nested
    inner class AChange {
        @Test
        fun `is not affected when its proposal arrives twice`() {
            form()
            propose(9, basedOn = 5)
            assertEquals(emptyList(), propose(9, basedOn = 5))
        }

        @Test
        fun `is abandoned, keeping the map in force, when a rank was armed too late`() {
            form()
            propose(9, basedOn = 5)
            stage()
            val release = SequencerMessage.Release(state.incarnation, session, MapVersion(5), 5)
            val sent = armed(enteredStep = 5)
            assertEquals(listOf<SequencerEffect>(SequencerEffect.Send(rank, release)), sent)
            val reason = ProposalOutcome.Abandoned(AbandonReason.ARMED_TOO_LATE)
            assertEquals(listOf<ProposalOutcome>(reason), outcomes(released()))
        }

        @Test
        fun `is abandoned when the weights do not load in time`() {
            form()
            propose(9, basedOn = 5)
            val reason = ProposalOutcome.Abandoned(AbandonReason.STAGE_TIMEOUT)
            val effects = reduce(SequencerEvent.Tick, at = now + 60.seconds)
            assertEquals(listOf<ProposalOutcome>(reason), outcomes(effects))
        }

        @Test
        fun `is abandoned when a rank reports a new session`() {
            form()
            propose(9, basedOn = 5)
            val back = RankMessage.Heartbeat(rank, session.next(), state.incarnation)
            val reason = ProposalOutcome.Abandoned(AbandonReason.GROUP_LOST)
            assertEquals(listOf<ProposalOutcome>(reason), outcomes(receive(back)))
        }
    }
}
