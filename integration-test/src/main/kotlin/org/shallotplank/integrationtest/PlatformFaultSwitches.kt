package org.shallotplank.integrationtest

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Injected faults and call counts of the platform stand-in. */
internal class PlatformFaultSwitches {
    private var answersToLose = 0
    private var stats = PlatformStats()

    /** Whether every call is refused with 503. */
    @get:Synchronized
    var outage: Boolean = false
        private set

    /** Time that is added to each call. */
    @get:Synchronized
    var slowness: Duration = Duration.ZERO
        private set

    /** Applies the fields of [faults] that are set. */
    @Synchronized
    fun apply(faults: PlatformFaults) {
        faults.outage?.let { outage = it }
        faults.slowMillis?.let { slowness = it.milliseconds }
        faults.loseAnswers?.let { answersToLose = it }
    }

    /** Whether to drop the answer to a write that took effect; counts each dropped answer. */
    @Synchronized
    fun takeLostAnswer(): Boolean {
        if (answersToLose == 0) return false
        answersToLose--
        stats = stats.copy(lostAnswers = stats.lostAnswers + 1)
        return true
    }

    /** Counts a read call. */
    @Synchronized
    fun countRead() {
        stats = stats.copy(reads = stats.reads + 1)
    }

    /** Counts a write call. */
    @Synchronized
    fun countWrite() {
        stats = stats.copy(writes = stats.writes + 1)
    }

    /** Returns the counts so far. */
    @Synchronized
    fun stats(): PlatformStats = stats
}
