package org.shallotplank.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.group.Proposal
import org.shallotplank.core.group.ProposalOutcome
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.ExpertPopularity
import org.shallotplank.core.placement.LeaseAnswer
import org.shallotplank.core.placement.LeaseEffect
import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.PlacementEffect
import org.shallotplank.core.placement.PlacementEvent
import org.shallotplank.core.placement.PlacementReducer
import org.shallotplank.core.placement.PlacementSettings
import org.shallotplank.core.placement.PlacementState
import org.shallotplank.core.placement.VersionedMap

/** Decides when the expert map of a simulated group changes, and to which map. */
internal interface PlacementPolicy {
    /** Receives the token counts and busy times of the group in the last window. */
    fun observe(tokens: List<IntArray>, busy: List<Duration>, now: Instant)

    /** The map that replaces [current], or null to keep it; called only while no map is loading. */
    fun nextMap(current: ExpertMap, now: Instant): ExpertMap?

    /** Called when the map that [nextMap] returned is in force. */
    fun applied() = Unit
}

/** Keeps the initial map. */
internal class StaticPolicy : PlacementPolicy {
    override fun observe(tokens: List<IntArray>, busy: List<Duration>, now: Instant) = Unit

    override fun nextMap(current: ExpertMap, now: Instant): ExpertMap? = null
}

/** Recomputes the placement of all experts every [interval], regardless of the current map. */
internal class GreedyPolicy(
    private val shape: RankGroupShape,
    private val settings: PlacementSettings,
    private val interval: Duration = 60.seconds
) : PlacementPolicy {
    private var popularity = ExpertPopularity.unknown(shape.layers, shape.expertsPerLayer)
    private var nextAt = Instant.DISTANT_PAST

    override fun observe(tokens: List<IntArray>, busy: List<Duration>, now: Instant) {
        popularity = popularity.plus(tokens, now, settings.popularityHalfLife)
    }

    override fun nextMap(current: ExpertMap, now: Instant): ExpertMap? {
        if (now < nextAt) return null
        nextAt = now + interval
        val layers = List(shape.layers) {
            greedyPlacement(popularity.shares(it), shape.ranks, shape.slotsPerRank)
        }
        return ExpertMap(layers.toPersistentList())
    }
}

/** The placement policy of the core module, with a table and sequencer that answer at once. */
internal class PlannedPolicy(shape: RankGroupShape, settings: PlacementSettings) : PlacementPolicy {
    private val reducer = PlacementReducer(settings)
    private var state = PlacementState.starting("bench", shape)
    private var version = MapVersion.None
    private var rowVersion = 0L
    private var proposal: Proposal? = null

    override fun observe(tokens: List<IntArray>, busy: List<Duration>, now: Instant) {
        reduce(PlacementEvent.Observed(tokens, busy), now)
    }

    override fun nextMap(current: ExpertMap, now: Instant): ExpertMap? {
        if (version == MapVersion.None) version = version.next()
        reduce(PlacementEvent.MapInForce(VersionedMap(version, current)), now)
        val effects = reduce(PlacementEvent.Tick, now)
        effects.filterIsInstance<PlacementEffect.Table>().forEach { answer(it.request, now) }
        proposal = effects.filterIsInstance<PlacementEffect.Propose>().firstOrNull()?.proposal
        return proposal?.map
    }

    override fun applied() {
        version = version.next()
        val id = checkNotNull(proposal).id
        val outcome = ProposalOutcome.Applied(version, step = 0)
        reduce(PlacementEvent.ProposalAnswered(id, outcome), Instant.DISTANT_PAST)
    }

    private fun answer(request: LeaseEffect, now: Instant) {
        val answer = when (request) {
            is LeaseEffect.Read -> LeaseAnswer.Found(row = null, version = rowVersion)
            is LeaseEffect.Write -> LeaseAnswer.Written(++rowVersion)
        }
        reduce(PlacementEvent.LeaseAnswered(request.number, answer), now)
    }

    private fun reduce(event: PlacementEvent, now: Instant): List<PlacementEffect> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        return step.effects
    }
}
