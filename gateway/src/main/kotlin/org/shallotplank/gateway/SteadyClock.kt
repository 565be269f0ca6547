package org.shallotplank.gateway

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * A monotonic clock, which returns the time since its creation as time since the epoch.
 *
 * Its instants can be compared with each other only, never with those of another clock.
 */
public class SteadyClock(source: TimeSource = TimeSource.Monotonic) : Clock {
    private val start = source.markNow()

    override fun now(): Instant = Instant.fromEpochMilliseconds(0) + start.elapsedNow()
}
