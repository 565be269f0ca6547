package org.shallotplank.integrationtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

class RankStandInTest {
    private val rank = RankStandIn(checksFencing = true)

    private fun request(incarnation: Long = 1, mapVersion: Long = 7, step: Long = 0) =
        RankRequest(incarnation, mapVersion, step)

    @Nested
    inner class Arming {
        @Test
        fun `needs a staged map`() {
            assertIs<RankResult.Rejected>(rank.arm(request(step = 3)))
        }

        @Test
        fun `needs a step later than the current one`() {
            rank.stage(request())
            rank.step(request(step = 3))
            assertIs<RankResult.Rejected>(rank.arm(request(step = 3)))
        }
    }

    @Nested
    inner class OlderIncarnations {
        @Test
        fun `are refused by a rank that checks fencing`() {
            rank.step(request(incarnation = 2, step = 1))
            assertIs<RankResult.Rejected>(rank.step(request(incarnation = 1, step = 2)))
        }

        @Test
        fun `are accepted by a rank that ignores fencing`() {
            val careless = RankStandIn(checksFencing = false)
            careless.step(request(incarnation = 2, step = 1))
            assertIs<RankResult.Done>(careless.step(request(incarnation = 1, step = 2)))
        }

        @Test
        fun `lose their armed map to a newer incarnation`() {
            rank.stage(request())
            rank.arm(request(step = 1))
            rank.step(request(incarnation = 2, step = 1))
            assertEquals(listOf(RankStep(2, 1, mapVersion = 0)), rank.steps())
        }
    }

    @Nested
    inner class Steps {
        @Test
        fun `must increase`() {
            rank.step(request(step = 2))
            assertIs<RankResult.Rejected>(rank.step(request(step = 2)))
        }
    }
}
