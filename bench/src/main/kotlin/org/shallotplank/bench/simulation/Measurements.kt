package org.shallotplank.bench.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import org.HdrHistogram.Histogram

/** Counts and latency distributions of the calls that started in one time window. */
internal class Measurements {
    var calls = 0
        private set
    var completed = 0
        private set
    var good = 0
        private set
    var refused = 0
        private set
    var refusedFinally = 0
        private set
    var cut = 0
        private set

    /** Number of calls that were interrupted and that no other upstream completed either. */
    var cutForGood = 0
        private set
    private val firstTokens = Histogram(3)
    private val steps = Histogram(3)
    private val goodPerSecond = sortedMapOf<Int, Int>()

    /** Number of calls that have neither completed nor been refused. */
    val withoutEnd: Int get() = begun - calls
    private var begun = 0

    fun begin() {
        begun++
    }

    fun record(call: Call, outcome: Outcome, endedAt: Duration) {
        calls++
        cut += call.cuts
        when (outcome) {
            is Outcome.Complete -> {
                completed++
                firstTokens.recordValue(outcome.firstToken.inWholeMicroseconds)
                steps.recordValue(outcome.step.inWholeMicroseconds)
                if (outcome.isGood) {
                    good++
                    goodPerSecond.merge(endedAt.inWholeSeconds.toInt(), 1, Int::plus)
                }
            }

            is Outcome.Refused -> {
                if (outcome.final) refusedFinally++ else refused++
                if (call.cuts > 0) cutForGood++
            }
        }
    }

    fun firstToken(percentile: Double): Duration =
        firstTokens.getValueAtPercentile(percentile).microseconds

    fun step(percentile: Double): Duration = steps.getValueAtPercentile(percentile).microseconds

    /** Number of completed calls within both latency bounds, by the second they ended in. */
    fun goodput(): Map<Int, Int> = goodPerSecond

    val refusedShare: Double get() = if (calls == 0) 0.0 else refused.toDouble() / calls

    private val Outcome.Complete.isGood: Boolean
        get() = firstToken <= FIRST_TOKEN_BOUND && step <= STEP_BOUND
}

/** Required upper bound of the time to the first token. */
internal val FIRST_TOKEN_BOUND = 1300.milliseconds

/** Required upper bound of the mean time between tokens. */
internal val STEP_BOUND = 36.milliseconds
