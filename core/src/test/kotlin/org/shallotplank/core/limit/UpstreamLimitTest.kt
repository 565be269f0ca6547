package org.shallotplank.core.limit

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.config.ServiceLimits

class UpstreamLimitTest {
    private val start = Instant.fromEpochSeconds(0)
    private val cold = UpstreamLimit(ServiceLimits())
    private val ready = (1..100).fold(cold) { limit, second ->
        limit.fill().answer(20.milliseconds, start + second.seconds)
    }

    @Nested
    inner class `A fresh upstream` {
        @Test
        fun `starts at the cold limit`() {
            assertEquals(2, cold.concurrency)
            assertEquals(Warmth.COLD, cold.warmth)
        }

        @Test
        fun `is raised one by one to the maximum`() {
            assertEquals(16, ready.concurrency)
            assertEquals(Warmth.READY, ready.warmth)
        }

        @Test
        fun `is not raised while it reports that it is cold`() {
            val limit = cold.on(report(incarnation = 1, cold = true), start)
            assertEquals(2, limit.fill().answer(20.milliseconds, start + 9.seconds).concurrency)
        }
    }

    @Nested
    inner class `A ready upstream` {
        @Test
        fun `falls to the cold limit when its incarnation changes`() {
            val known = ready.on(report(incarnation = 1), start + 200.seconds)
            assertEquals(2, known.on(report(incarnation = 2), start + 201.seconds).concurrency)
        }

        @Test
        fun `falls to the cold limit when its step time jumps`() {
            val limit = ready.fill().answer(90.milliseconds, start + 200.seconds)
            assertEquals(2, limit.concurrency)
        }

        @Test
        fun `is lowered by the ratio of target to step`() {
            val limit = ready.fill().answer(48.milliseconds, start + 200.seconds)
            assertEquals(12, limit.concurrency)
        }

        @Test
        fun `falls to the cold limit when its cache is lost`() {
            val known = ready.on(report(incarnation = 1, cachedPrefixes = 5), start)
            val limit = known.on(report(incarnation = 1, cachedPrefixes = 0), start)
            assertEquals(Warmth.COLD, limit.warmth)
        }

        @Test
        fun `is not raised by answers to requests from before its loss`() {
            val lost = ready.fill().on(LimitEvent.UpstreamLost, start + 200.seconds)
            val limit = lost.answer(20.milliseconds, start + 300.seconds)
            assertEquals(2, limit.concurrency)
        }
    }

    private fun UpstreamLimit.fill(): UpstreamLimit =
        if (admits) on(LimitEvent.Started, start).fill() else this

    private fun UpstreamLimit.answer(step: Duration, now: Instant): UpstreamLimit =
        (1..running).fold(this) { limit, _ ->
            limit.on(LimitEvent.Finished(100.milliseconds, step, succeeded = true), now)
        }

    private fun report(incarnation: Long, cold: Boolean = false, cachedPrefixes: Int? = null) =
        LimitEvent.LoadReported(incarnation, 0, 0, Duration.ZERO, cold, cachedPrefixes)
}
