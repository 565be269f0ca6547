package org.shallotplank.bench.simulation

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Virtual clock that runs scheduled actions in order of time, without real waiting. */
internal class VirtualClock(val start: Instant = Instant.fromEpochSeconds(0)) {
    var now: Instant = start
        private set

    private val pending = PriorityQueue<Timer>(compareBy<Timer> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    /** Virtual time since [start]. */
    val elapsed: Duration get() = now - start

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        pending += Timer(now + delay, sequence++, action)
    }

    /** Runs [action] every [interval], for the first time after one interval. */
    fun every(interval: Duration, action: () -> Unit): Unit = after(interval) {
        action()
        every(interval, action)
    }

    /** Runs all actions that are due up to [duration] after [start] and advances [now] to then. */
    fun runFor(duration: Duration) {
        val end = start + duration
        while (true) {
            val next = pending.peek()?.takeIf { it.at <= end } ?: break
            pending.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    private class Timer(val at: Instant, val sequence: Long, val action: () -> Unit)
}
