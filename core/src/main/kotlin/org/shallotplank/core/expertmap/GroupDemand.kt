package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.placement.ExpertPopularity

/**
 * Demand of a group's requests for each expert, estimated from counts that are read in rounds.
 *
 * Immutable. A round that is close to the estimate is averaged into it, so that noise moves no
 * experts. Demand also jumps: two consecutive rounds that are close to each other but not to the
 * estimate replace it, since an average of old and new demand fits neither.
 *
 * @property popularity the estimate for which maps are planned.
 * @property jumps number of times that the estimate was replaced.
 */
public class GroupDemand private constructor(
    public val popularity: ExpertPopularity,
    public val jumps: Int,
    private val round: ExpertPopularity,
    private val lastRound: ExpertPopularity,
    private val divergentRounds: Int
) {
    /** Whether [popularity] is known and no jump of demand is being confirmed. */
    public val isSettled: Boolean get() = popularity.isKnown && divergentRounds == 0

    /** Whether [popularity] is from as many tokens as a usual round of readings has. */
    internal val isFirm: Boolean get() = popularity.tokensPerExpert >= MIN_TOKENS_PER_EXPERT

    /** Adds the [tokens] that one rank routed since its last reading, by layer and expert. */
    internal fun plus(tokens: List<IntArray>, now: Instant): GroupDemand =
        GroupDemand(popularity, jumps, round.plus(tokens, now), lastRound, divergentRounds)

    /**
     * Ends a round of readings; [halfLife] is the time after which a count has half of its weight.
     *
     * A round with too few tokens for an estimate is continued.
     */
    internal fun endRound(halfLife: Duration): GroupDemand {
        if (!popularity.isKnown) return endFirstRound(halfLife)
        if (round.tokensPerExpert < MIN_TOKENS_PER_EXPERT) return this
        val matchesKnown = round.distanceTo(popularity) <= MAX_DISTANCE
        val matchesLastRound = divergentRounds > 0 && round.distanceTo(lastRound) <= MAX_DISTANCE
        return when {
            matchesKnown -> next(popularity.plus(round, halfLife))
            matchesLastRound -> next(lastRound.plus(round, halfLife), jumps = jumps + 1)
            // Rounds that all differ from each other carry no information beyond their average.
            divergentRounds >= MAX_DIVERGENT_ROUNDS -> next(popularity.plus(round, halfLife))
            else -> next(popularity, divergentRounds = divergentRounds + 1)
        }
    }

    /** Needs fewer tokens: any estimate is better than the map with which a group starts. */
    private fun endFirstRound(halfLife: Duration): GroupDemand {
        if (round.tokensPerExpert < MIN_FIRST_TOKENS_PER_EXPERT) return this
        return next(popularity.plus(round, halfLife), jumps = jumps + 1)
    }

    private fun next(
        popularity: ExpertPopularity,
        jumps: Int = this.jumps,
        divergentRounds: Int = 0
    ) = GroupDemand(popularity, jumps, round.cleared(), lastRound = round, divergentRounds)

    internal companion object {
        fun unknown(layers: Int, expertsPerLayer: Int): GroupDemand {
            val none = ExpertPopularity.unknown(layers, expertsPerLayer)
            return GroupDemand(none, jumps = 0, none, none, divergentRounds = 0)
        }

        /** Mean tokens per expert below which the shares of a round are mostly noise. */
        private const val MIN_TOKENS_PER_EXPERT = 20.0

        /** Enough to find the few experts that take most of the tokens. */
        private const val MIN_FIRST_TOKENS_PER_EXPERT = 5.0

        /**
         * Share of the tokens that must go to other experts for demand to have jumped; twice the
         * difference between rounds of constant demand, see docs/MEASUREMENTS.md.
         */
        private const val MAX_DISTANCE = 0.25

        /** Two rounds confirm a jump, or three if it came in the middle of a round. */
        private const val MAX_DIVERGENT_ROUNDS = 3
    }
}
