package org.shallotplank.bench

import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.HdrHistogram.Histogram
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.PlacementSettings

/** A rank that runs at [speed], relative to 1.0 of the other ranks, from [from] until [until]. */
internal data class Straggler(
    val rank: Int,
    val speed: Double,
    val from: Duration,
    val until: Duration
)

/** Results of one run with one policy. */
internal class PlacementRun(
    /** Time of the slowest rank over the mean time, for each second after the warm-up. */
    val skews: List<Double>,
    val bytesMoved: Long,
    val mapChanges: Int
) {
    private val histogram = Histogram(HISTOGRAM_DIGITS).apply {
        skews.forEach { recordValue((it * HISTOGRAM_SCALE).roundToLong()) }
    }

    val meanSkew: Double get() = skews.average()
    val p99Skew: Double get() = histogram.getValueAtPercentile(99.0) / HISTOGRAM_SCALE

    /** Seconds from [start] until the skew stays under [bound] for 10 s; null if it never does. */
    fun secondsUntilUnder(bound: Double, start: Duration): Int? {
        val first = (start - warmUp).inWholeSeconds.toInt()
        return (first..skews.size - STABLE_SECONDS)
            .firstOrNull { at -> (at until at + STABLE_SECONDS).all { skews[it] < bound } }
            ?.minus(first)
    }

    fun meanSkewBetween(from: Duration, until: Duration): Double {
        val first = (from - warmUp).inWholeSeconds.toInt()
        return skews.subList(first, (until - warmUp).inWholeSeconds.toInt()).average()
    }

    companion object {
        /** Time at the start of a run that is excluded from the results. */
        val warmUp: Duration = 60.seconds
        private const val HISTOGRAM_DIGITS = 4
        private const val HISTOGRAM_SCALE = 10_000.0
        private const val STABLE_SECONDS = 10
    }
}

/**
 * Simulates a rank group on a virtual clock in increments of one second.
 *
 * The time of a rank in a layer is its expected load over its speed; in each layer, a step waits
 * for the slowest rank. The skew uses expected loads, without the random variation of the tokens in
 * single steps. The token counts that the policy observes include this variation.
 */
internal class PlacementSimulation(
    private val shape: RankGroupShape,
    private val settings: PlacementSettings,
    private val drift: ExpertDrift,
    private val duration: Duration,
    private val straggler: Straggler? = null
) {
    private class Loading(val map: ExpertMap, val readyAt: Duration)

    fun run(policy: PlacementPolicy, random: Random, spareSlots: Boolean = true): PlacementRun {
        val skews = mutableListOf<Double>()
        var map = firstMap(spareSlots)
        var loading: Loading? = null
        var bytesMoved = 0L
        var changes = 0
        for (second in 0 until duration.inWholeSeconds) {
            val elapsed = second.seconds
            val now = Instant.fromEpochSeconds(second)
            val ready = loading?.takeIf { it.readyAt <= elapsed }
            if (ready != null) {
                map = ready.map
                loading = null
                changes++
                policy.applied()
            }
            val times = timesByLayer(map, elapsed)
            if (elapsed >= PlacementRun.warmUp) skews += skew(times)
            policy.observe(countTokens(elapsed, random), busyTimes(times, random), now)
            val next = if (loading == null) policy.nextMap(map, now) else null
            if (next != null) {
                val bytes = settings.expertBytes * expertsToLoad(map, next)
                bytesMoved += bytes
                loading = Loading(next, readyAt = elapsed + loadTime(bytes))
            }
        }
        return PlacementRun(skews, bytesMoved, changes)
    }

    private fun loadTime(bytes: Long): Duration =
        1.seconds * (bytes.toDouble() / settings.weightStoreBytesPerSecond)

    private fun firstMap(spareSlots: Boolean): ExpertMap {
        val slots = if (spareSlots) shape.slotsPerRank else shape.expertsPerLayer / shape.ranks
        val layers = List(shape.layers) {
            greedyPlacement(drift.shares(it, Duration.ZERO), shape.ranks, slots)
        }
        return ExpertMap(layers.toPersistentList())
    }

    private fun expertsToLoad(from: ExpertMap, to: ExpertMap): Int =
        from.layers.indices.sumOf { from.layers[it].expertsToLoad(to.layers[it]) }

    private fun timesByLayer(map: ExpertMap, elapsed: Duration): List<DoubleArray> =
        map.layers.mapIndexed { layer, placement ->
            val loads = placement.rankLoads(drift.shares(layer, elapsed))
            DoubleArray(loads.size) { loads[it] / speed(it, elapsed) }
        }

    private fun speed(rank: Int, elapsed: Duration): Double {
        val slow = straggler ?: return 1.0
        val isSlow = rank == slow.rank && elapsed >= slow.from && elapsed < slow.until
        return if (isSlow) slow.speed else 1.0
    }

    private fun skew(times: List<DoubleArray>): Double =
        times.sumOf { it.max() } / times.sumOf { it.average() }

    private fun countTokens(elapsed: Duration, random: Random): List<IntArray> {
        val tokens = TOKENS_PER_RANK * shape.ranks
        val noise = random.asJavaRandom()
        return List(shape.layers) { layer ->
            val shares = drift.shares(layer, elapsed)
            IntArray(shares.size) {
                val expected = shares[it] * tokens
                (expected + sqrt(expected) * noise.nextGaussian()).roundToInt().coerceAtLeast(0)
            }
        }
    }

    private fun busyTimes(times: List<DoubleArray>, random: Random): List<Duration> {
        val noise = random.asJavaRandom()
        return List(shape.ranks) { rank ->
            val busy = times.sumOf { it[rank] } * BUSY_MICROS * shape.ranks / shape.layers
            (busy * (1 + TIMING_NOISE * noise.nextGaussian())).microseconds
        }
    }

    private companion object {
        /** Routed tokens per second and rank; a token counts once for each of its experts. */
        const val TOKENS_PER_RANK = 5_000
        const val BUSY_MICROS = 700_000.0
        const val TIMING_NOISE = 0.01
    }
}
