package org.shallotplank.core.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.group.Proposal
import org.shallotplank.core.group.ProposalOutcome

class PlacementReducerTest {
    private val shape =
        RankGroupShape(ranks = 4, layers = 1, expertsPerLayer = 8, slotsPerRank = 3)
    private val reducer = PlacementReducer(PlacementSettings(1, 2))
    private val first = VersionedMap(MapVersion(1), ExpertMap.initial(shape))
    private var state = PlacementState.starting("life-1", shape)
    private var now = Instant.fromEpochSeconds(100)

    private fun reduce(event: PlacementEvent): List<PlacementEffect> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        return step.effects
    }

    private fun tick(): List<PlacementEffect> {
        now += 1.seconds
        val skewed = intArrayOf(900, 1, 1, 1, 1, 1, 1, 1)
        reduce(PlacementEvent.Observed(listOf(skewed), List(4) { 100.milliseconds }))
        return reduce(PlacementEvent.Tick)
    }

    private fun answer(effects: List<PlacementEffect>, answer: LeaseAnswer) =
        effects.filterIsInstance<PlacementEffect.Table>().forEach {
            reduce(PlacementEvent.LeaseAnswered(it.request.number, answer))
        }

    private fun takeLease() {
        reduce(PlacementEvent.MapInForce(first))
        answer(tick(), LeaseAnswer.Found(row = null, version = 0))
        answer(tick(), LeaseAnswer.Written(version = 1))
    }

    private fun outcomeOf(proposal: Proposal, outcome: ProposalOutcome) =
        reduce(PlacementEvent.ProposalAnswered(proposal.id, outcome))

    private fun proposals(effects: List<PlacementEffect>) =
        effects.filterIsInstance<PlacementEffect.Propose>().map { it.proposal }

    @Nested
    inner class ALeaseHolder {
        @Test
        fun `proposes under its fencing number and explains why`() {
            takeLease()
            val effects = tick()
            val proposal = proposals(effects).single()
            assertEquals(FencingNumber(1), proposal.fencing)
            val explained = effects.filterIsInstance<PlacementEffect.Explain>().single().decision
            val plan = (explained as PlacementDecision.Proposed).plan
            assertTrue(plan.changes.first().candidates.isNotEmpty())
        }

        @Test
        fun `continues from the map that was applied`() {
            takeLease()
            val proposal = proposals(tick()).single()
            outcomeOf(proposal, ProposalOutcome.Applied(MapVersion(2), step = 9))
            assertEquals(VersionedMap(MapVersion(2), proposal.map), state.map)
        }

        @Test
        fun `ignores the late outcome of an earlier proposal`() {
            takeLease()
            val proposal = proposals(tick()).single()
            val earlier = proposal.copy(id = proposal.id.copy(number = 0))
            outcomeOf(earlier, ProposalOutcome.Applied(MapVersion(2), step = 9))
            assertEquals(first, state.map)
        }

        @Test
        fun `stops proposing once the table has been down for the duration of the lease`() {
            takeLease()
            outcomeOf(proposals(tick()).single(), ProposalOutcome.Busy)
            now += LeaseSettings().duration
            assertEquals(emptyList(), proposals(tick()))
        }

        @Test
        fun `no longer holds the lease after the group reports a newer fencing number`() {
            takeLease()
            outcomeOf(proposals(tick()).single(), ProposalOutcome.Fenced(FencingNumber(2)))
            assertNull(state.lease.heldFencing(now))
        }
    }
}
