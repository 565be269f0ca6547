package org.shallotplank.core.work

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.CustomerName

/** Whose answers are alike: those of a route, or of a route and a customer. */
public data class OutputKey(val route: String, val customer: CustomerName? = null)

/**
 * Tokens of answers, learned from those that completed.
 *
 * @property learned statistics by route, and by route and customer; at most [MAX_KEYS].
 * @property observations number of answers learned from.
 */
public data class OutputEstimate(
    val learned: PersistentMap<OutputKey, OutputStatistics> = persistentMapOf(),
    val observations: Long = 0
) {
    /** Learns that an answer had [tokens] when the caller's hint was [hintTokens]. */
    public fun with(
        route: String,
        customer: CustomerName?,
        tokens: Double,
        hintTokens: Int?
    ): OutputEstimate {
        val number = observations + 1
        val keys = listOfNotNull(OutputKey(route), customer?.let { OutputKey(route, it) })
        val next = keys.fold(learned) { map, key ->
            val known = map[key]
            val kept = if (known == null) map.withRoom() else map
            kept.put(key, (known ?: OutputStatistics()).with(tokens, hintTokens, number))
        }
        return OutputEstimate(next, number)
    }

    /**
     * Expected tokens of an answer, or null if nothing is known of it.
     *
     * @param usualTokens published mean of the service, used until answers of the route are known.
     */
    public fun expectedTokens(
        route: String,
        customer: CustomerName?,
        size: RequestSize,
        usualTokens: Int?
    ): Double? {
        val ofCustomer = customer?.let { learned[OutputKey(route, it)] }
            ?.takeIf { it.weight >= MIN_WEIGHT }
        val ofRoute = learned[OutputKey(route)]?.takeIf { it.weight >= MIN_WEIGHT }
        val expected = (ofCustomer ?: ofRoute)?.expected(size.hintTokens)
            ?: usualTokens?.toDouble()
            ?: return null
        val most = size.maxOutputTokens?.toDouble() ?: expected
        return minOf(expected, most).coerceAtLeast(1.0)
    }

    /** Drops the key that was not updated for the longest time if there is no room for another. */
    private fun PersistentMap<OutputKey, OutputStatistics>.withRoom() =
        if (size < MAX_KEYS) this else remove(minBy { it.value.lastObservation }.key)

    internal companion object {
        /** Bounds the memory to about 100 kB. */
        const val MAX_KEYS = 512

        /** With fewer answers, the mean of those is further off than the wider mean. */
        private const val MIN_WEIGHT = 15.0
    }
}

/**
 * Decaying statistics of the tokens of answers, and of how callers' hints relate to them.
 *
 * Hints are compared by their logarithms: they are right at the median, and an error by a factor
 * is as likely in either direction.
 *
 * @property lastObservation number of the last observation, by which the oldest key is found.
 */
public data class OutputStatistics(
    val weight: Double = 0.0,
    val sum: Double = 0.0,
    val lastObservation: Long = 0,
    val hinted: HintStatistics = HintStatistics()
) {
    internal fun with(tokens: Double, hintTokens: Int?, number: Long) = OutputStatistics(
        weight = weight * KEPT + 1,
        sum = sum * KEPT + tokens,
        lastObservation = number,
        hinted = if (hintTokens != null && hintTokens > 0 && tokens > 0.0) {
            hinted.with(ln(tokens), ln(hintTokens.toDouble()))
        } else {
            hinted
        }
    )

    /** Expected tokens; the hint counts as much as hints have been right. */
    internal fun expected(hintTokens: Int?): Double {
        val mean = sum / weight
        if (hintTokens == null || hintTokens <= 0) return mean
        val corrected = hinted.expected(ln(hintTokens.toDouble())) ?: return mean
        val trust = hinted.weight / (hinted.weight + HINTS_FOR_HALF_TRUST)
        return mean.pow(1 - trust) * corrected.pow(trust)
    }

    private companion object {
        /** Number of hints whose regression counts as much as the mean of the answers. */
        const val HINTS_FOR_HALF_TRUST = 15.0
    }
}

/** Decaying sums for the regression of the logarithm of answers on that of their hints. */
public data class HintStatistics(
    val weight: Double = 0.0,
    val answers: Double = 0.0,
    val hints: Double = 0.0,
    val answerSquares: Double = 0.0,
    val hintSquares: Double = 0.0,
    val products: Double = 0.0
) {
    internal fun with(answer: Double, hint: Double) = HintStatistics(
        weight = weight * KEPT + 1,
        answers = answers * KEPT + answer,
        hints = hints * KEPT + hint,
        answerSquares = answerSquares * KEPT + answer * answer,
        hintSquares = hintSquares * KEPT + hint * hint,
        products = products * KEPT + answer * hint
    )

    /** Expected tokens given the logarithm of the hint; null before the first hints. */
    internal fun expected(hint: Double): Double? {
        if (weight < MIN_HINTS) return null
        val meanAnswer = answers / weight
        val meanHint = hints / weight
        val hintVariance = hintSquares / weight - meanHint * meanHint
        val answerVariance = answerSquares / weight - meanAnswer * meanAnswer
        if (hintVariance < MIN_VARIANCE) return null
        val covariance = products / weight - meanAnswer * meanHint
        val slope = (covariance / hintVariance).coerceIn(0.0, 1.0)
        val rest = (answerVariance - slope * covariance).coerceIn(0.0, answerVariance)
        return exp(meanAnswer + slope * (hint - meanHint) + rest / 2)
    }

    private companion object {
        const val MIN_HINTS = 5.0

        /** Hints that hardly differ say nothing about the answer. */
        const val MIN_VARIANCE = 1e-4
    }
}

/** Part of the weight that remains after one more answer; the last 200 answers count most. */
private const val KEPT = 1 - 1.0 / 200
