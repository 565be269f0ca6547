package org.shallotplank.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.ServiceName

/** Collects the pauses between the events of streams and reports a quantile of each service. */
internal class PauseReports(startedAt: Instant) {
    private val pausesByService = HashMap<ServiceName, MutableList<Duration>>()
    private var reportedAt: Instant = startedAt

    fun record(service: ServiceName, pause: Duration) {
        pausesByService.getOrPut(service) { mutableListOf() } += pause
    }

    /** Returns what was observed since the last report, null if none is due or nothing was. */
    fun takeDue(now: Instant): PersistentMap<ServiceName, Duration>? {
        if (now - reportedAt < INTERVAL) return null
        reportedAt = now
        if (pausesByService.isEmpty()) return null
        val quantiles = pausesByService.mapValues { (_, pauses) ->
            pauses.sorted()[(pauses.size * QUANTILE).toInt().coerceAtMost(pauses.lastIndex)]
        }
        pausesByService.clear()
        return quantiles.toPersistentMap()
    }

    private companion object {
        /** Covers a few steps of an engine. */
        val INTERVAL = 200.milliseconds

        /** A high quantile, since a single long pause makes an answer late. */
        const val QUANTILE = 0.9
    }
}
