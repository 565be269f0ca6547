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

/** Guards against two lease holders that issue orders at the same time, also after suspensions. */
class LeaseGuardTest {
    private var steadyAt = Instant.fromEpochMilliseconds(0)
    private var wallAt = Instant.fromEpochMilliseconds(1_000_000_000)
    private var confirmedAt = steadyAt

    private fun guard(areFencesChecked: Boolean) = LeaseGuard(
        areFencesChecked = areFencesChecked,
        clock = clock { steadyAt },
        wallClock = clock { wallAt }
    )

    private fun LeaseGuard.mayIssueOrders(): Boolean = mayIssueOrders { confirmedAt }

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
        fun `a suspended holder issues no order before its lease is confirmed again`() {
            advance(10.seconds)
            assertFalse(guard.mayIssueOrders())

            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders())
        }

        @Test
        fun `a suspension that only the wall clock shows invalidates the confirmation`() {
            advance(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders())

            wallAt += 6.seconds
            assertFalse(guard.mayIssueOrders())
            assertFalse(guard.mayIssueOrders(), "not confirmed since the suspension")

            advance(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayIssueOrders())
        }

        /** Guards against a holder whose clock stands still often, each time only for a moment. */
        @Test
        fun `short suspensions add up`() {
            repeat(12) {
                guard.mayIssueOrders()
                advance(50.milliseconds)
                wallAt += 200.milliseconds
            }
            assertFalse(guard.mayIssueOrders())
        }

        @Test
        fun `the next holder starts after the previous holder has stopped issuing orders`() {
            val firstSeenAt = steadyAt
            confirmedAt = steadyAt
            while (guard.mayIssueOrders() || steadyAt == firstSeenAt) {
                assertFalse(guard.mayTakeOver(firstSeenAt, isPreviousHolderGone = false))
                advance(50.milliseconds)
                if (steadyAt - firstSeenAt > 10.seconds) break
            }
            advance(1.seconds)

            assertTrue(guard.mayTakeOver(firstSeenAt, isPreviousHolderGone = false))
        }

        @Test
        fun `the next holder starts at once if the previous holder is gone`() {
            assertTrue(guard.mayTakeOver(steadyAt, isPreviousHolderGone = true))
        }
    }

    @Nested
    inner class WhereRanksCheckFences {
        @Test
        fun `holders may issue orders and take over at any time`() {
            val guard = guard(areFencesChecked = true)
            advance(60.seconds)

            assertTrue(guard.mayIssueOrders())
            assertTrue(guard.mayTakeOver(steadyAt, isPreviousHolderGone = false))
        }
    }
}
