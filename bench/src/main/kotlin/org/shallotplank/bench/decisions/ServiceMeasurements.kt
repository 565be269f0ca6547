package org.shallotplank.bench.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What one request was served. */
internal class RequestResult(
    val kind: LoadKind,
    val zone: Int,
    val promptTokens: Double,
    val startedAfter: Duration
) {
    var firstEvent: Duration? = null
    var longestPause: Duration = Duration.ZERO
    var endedAfter: Duration? = null
    var refusals = 0

    /** Worth of the request: grows with the prompt, up to four times that of its kind. */
    val owed: Double
        get() {
            val mean = kind.prompt.mean
            if (mean <= 0.0) return kind.worth
            return kind.worth * (0.3 + 0.7 * promptTokens / mean).coerceAtMost(4.0)
        }

    val earned: Double
        get() {
            val ended = endedAfter ?: return 0.0
            val isOnTime = (firstEvent ?: ended) <= kind.goal &&
                (kind.longestPause == null || longestPause <= kind.longestPause)
            return owed * (if (isOnTime) 1.0 else kind.lateShare)
        }
}

/** Results of all requests of one run. */
internal class ServiceMeasurements(private val load: DecisionLoad) {
    private val results = mutableListOf<RequestResult>()
    var connectionsOpened = 0
    var rejectedAttempts = 0

    fun begin(kind: LoadKind, zone: Int, draw: RequestDraw, elapsed: Duration): RequestResult =
        RequestResult(kind, zone, draw.promptTokens, elapsed).also { results += it }

    /** Shares of the worth owed that were earned, and counts, by the name of the figure. */
    fun figures(): Map<String, Double> = buildMap {
        put("worth, all", share(results))
        load.kinds.forEach { kind ->
            put(
                "worth, ${kind.name}",
                share(
                    results.filter {
                        it.kind ==
                            kind
                    }
                )
            )
        }
        load.zones.forEachIndexed { index, zone ->
            put("worth, zone ${zone.name}", share(results.filter { it.zone == index }))
        }
        val streams = results.filter { it.promptTokens > 0 }.groupBy { it.kind }
        val largest = streams.values.flatMap { all ->
            all.sortedBy { it.promptTokens }.takeLast(
                all.size / 10
            )
        }
        put("worth, largest tenth", share(largest))
        val windows = results.groupBy { it.startedAfter.inWholeSeconds / WINDOW.inWholeSeconds }
            .filterValues { it.size >= MIN_WINDOW_REQUESTS }
            .values.map(::share).sorted()
        put("worth, worst two windows", windows.take(2).average())
        val served = results.filter { it.firstEvent != null && it.endedAfter != null }
        put("first event, ms", meanMillis(served.mapNotNull { it.firstEvent }))
        put("longest pause, ms", meanMillis(served.map { it.longestPause }))
        val paused = served.filter { it.kind.longestPause != null }
        put("streams over the pause", overPause(paused, 1.0))
        put("streams over 1.2 of the pause", overPause(paused, 1.2))
        put("unserved share", results.count { it.endedAfter == null }.toDouble() / results.size)
        put("refusals a request", results.sumOf { it.refusals }.toDouble() / results.size)
        put("rejected attempts a request", rejectedAttempts.toDouble() / results.size)
        put("connections a request", connectionsOpened.toDouble() / results.size)
    }

    /** Share of [streams] whose longest pause exceeds [multiple] of the acceptable one. */
    private fun overPause(streams: List<RequestResult>, multiple: Double): Double =
        streams.count { it.longestPause > it.kind.longestPause!! * multiple }.toDouble() /
            streams.size.coerceAtLeast(1)

    private fun meanMillis(times: List<Duration>): Double =
        if (times.isEmpty()) 0.0 else times.sumOf { it.inWholeMicroseconds } / 1e3 / times.size

    private fun share(part: List<RequestResult>): Double =
        if (part.isEmpty()) 1.0 else part.sumOf { it.earned } / part.sumOf { it.owed }

    private companion object {
        val WINDOW = 2.seconds
        const val MIN_WINDOW_REQUESTS = 20
    }
}
