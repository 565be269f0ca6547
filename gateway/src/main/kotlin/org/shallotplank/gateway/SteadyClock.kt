package org.shallotplank.gateway

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * A clock that never jumps: it shows the time since its creation as time since the epoch.
 *
 * Its instants compare with each other only, never with those of another process.
 */
public class SteadyClock(source: TimeSource = TimeSource.Monotonic) : Clock {
    private val start = source.markNow()

    override fun now(): Instant = Instant.fromEpochMilliseconds(0) + start.elapsedNow()
}
