package org.shallotplank.integrationtest

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** A value that readers see as it was [lag] ago. */
internal class LaggedView<T>(
    initial: T,
    lag: Duration,
    private val timeSource: TimeSource.WithComparableMarks
) {
    private data class Entry<T>(val since: ComparableTimeMark, val value: T)

    private val history = ArrayDeque(listOf(Entry(timeSource.markNow(), initial)))

    /** Delay after which readers see an update. */
    @get:Synchronized
    @set:Synchronized
    var lag: Duration = lag

    /** The newest value, without lag. */
    @get:Synchronized
    val latest: T get() = history.last().value

    /** Sets the newest value. */
    @Synchronized
    fun update(value: T) {
        history.addLast(Entry(timeSource.markNow(), value))
        dropExpired()
    }

    /** Returns the value that was the newest [lag] ago. */
    @Synchronized
    fun read(): T {
        dropExpired()
        return history.first().value
    }

    private fun dropExpired() {
        while (history.size > 1 && history[1].since.elapsedNow() >= lag) history.removeFirst()
    }
}
