package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.placement.ExpertPopularity

/**
 * What the requests of a group ask of each expert, from counts that are read in rounds.
 *
 * Immutable. Rounds that resemble what is known are averaged with it, so that noise does not move
 * experts. Demand also jumps: two rounds in a row that resemble each other and not what is known
 * take its place, since an average of old and new demand fits neither.
 *
 * @property popularity what maps are planned for.
 * @property jumps how often it was replaced.
 */
public class GroupDemand private constructor(
    public val popularity: ExpertPopularity,
    public val jumps: Int,
    private val round: ExpertPopularity,
    private val lastRound: ExpertPopularity,
    private val divergentRounds: Int
) {
    /** Whether [popularity] is what is asked for now, as far as the last round tells. */
    public val isSettled: Boolean get() = popularity.isKnown && divergentRounds == 0

    /** Adds the [tokens] that one rank routed since it was last asked, by layer and expert. */
    internal fun plus(tokens: List<IntArray>, now: Instant): GroupDemand =
        GroupDemand(popularity, jumps, round.plus(tokens, now), lastRound, divergentRounds)

    /**
     * Ends a round of readings; [halfLife] is the time after which a count weighs half.
     *
     * A round with too few tokens to tell is continued.
     */
    internal fun endRound(halfLife: Duration): GroupDemand {
        if (!popularity.isKnown) return endFirstRound(halfLife)
        if (round.tokensPerExpert < MIN_TOKENS_PER_EXPERT) return this
        val matchesKnown = round.distanceTo(popularity) <= MAX_DISTANCE
        val matchesLastRound = divergentRounds > 0 && round.distanceTo(lastRound) <= MAX_DISTANCE
        return when {
            matchesKnown -> next(popularity.plus(round, halfLife))
            matchesLastRound -> next(lastRound.plus(round, halfLife), jumps = jumps + 1)
            // Rounds that never resemble each other say no more than their average.
            divergentRounds >= MAX_DIVERGENT_ROUNDS -> next(popularity.plus(round, halfLife))
            else -> next(popularity, divergentRounds = divergentRounds + 1)
        }
    }

    /** Anything that is known is better than the map with which a group opens. */
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

        /** Mean tokens of an expert below which the shares of a round are mostly noise. */
        private const val MIN_TOKENS_PER_EXPERT = 20.0

        /** Enough to tell the few experts that take most of the tokens. */
        private const val MIN_FIRST_TOKENS_PER_EXPERT = 5.0

        /**
         * Part of the tokens that goes to other experts from which on demand has jumped; twice what
         * rounds differ by while nothing changes, see docs/MEASUREMENTS.md.
         */
        private const val MAX_DISTANCE = 0.25

        /** Two rounds settle a jump, and a third one if it came in the middle of a round. */
        private const val MAX_DIVERGENT_ROUNDS = 3
    }
}
