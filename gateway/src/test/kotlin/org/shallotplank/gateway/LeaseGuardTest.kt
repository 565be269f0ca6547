package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.group.LeaseGuard

class LeaseGuardTest {
    private var steadyAt = Instant.fromEpochMilliseconds(0)
    private var wallAt = Instant.fromEpochMilliseconds(1_000_000_000)
    private var confirmedAt = steadyAt

    private fun guard(areFencesChecked: Boolean) = LeaseGuard(
        areFencesChecked = areFencesChecked,
        clock = clock { steadyAt },
        wallClock = clock { wallAt },
        confirmedAt = { confirmedAt }
    )

    private fun clock(read: () -> Instant) = object : Clock {
        override fun now(): Instant = read()
    }

    private fun advance(time: Duration) {
        steadyAt += time
        wallAt += time
    }

    @Nested
    inner class WhereRanksDoNotCheckFences {
        private val guard = guard(areFencesChecked = false)

        @Test
        fun `a holder that woke up gives no order before the store has confirmed its row`() {
            advance(10.seconds)
            assertFalse(guard.mayIssueOrders("g"))

            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders("g"))
        }

        @Test
        fun `a suspension that the steady clock does not show counts as well`() {
            advance(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders("g"))

            wallAt += 6.seconds
            assertFalse(guard.mayIssueOrders("g"))
            assertFalse(guard.mayIssueOrders("g"), "still not confirmed since")

            advance(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders("g"))
        }

        @Test
        fun `a successor begins after the holder before it has stopped`() {
            val firstSeenAt = steadyAt
            confirmedAt = steadyAt
            while (guard.mayIssueOrders("g") || steadyAt == firstSeenAt) {
                assertFalse(guard.mayTakeOver(firstSeenAt, isPreviousHolderGone = false))
                advance(50.milliseconds)
                if (steadyAt - firstSeenAt > 10.seconds) break
            }
            advance(1.seconds)

            assertTrue(guard.mayTakeOver(firstSeenAt, isPreviousHolderGone = false))
        }

        @Test
        fun `a successor of a process that has ended begins at once`() {
            assertTrue(guard.mayTakeOver(steadyAt, isPreviousHolderGone = true))
        }
    }

    @Nested
    inner class WhereRanksCheckFences {
        @Test
        fun `holders may act at any time`() {
            val guard = guard(areFencesChecked = true)
            advance(60.seconds)

            assertTrue(guard.mayIssueOrders("g"))
            assertTrue(guard.mayTakeOver(steadyAt, isPreviousHolderGone = false))
        }
    }
}
