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

    private fun pass(time: Duration) {
        steadyAt += time
        wallAt += time
    }

    @Nested
    inner class WhereRanksDoNotCheckFences {
        private val guard = guard(areFencesChecked = false)

        @Test
        fun `a holder that woke up gives no order before the store has confirmed its row`() {
            pass(10.seconds)
            assertFalse(guard.mayAct("g"))

            confirmedAt = steadyAt
            assertTrue(guard.mayAct("g"))
        }

        @Test
        fun `a suspension that the steady clock does not show counts as well`() {
            pass(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayAct("g"))

            wallAt += 6.seconds
            assertFalse(guard.mayAct("g"))
            assertFalse(guard.mayAct("g"), "still not confirmed since")

            pass(50.milliseconds)
            confirmedAt = steadyAt
            assertTrue(guard.mayAct("g"))
        }

        @Test
        fun `a successor begins after the holder before it has stopped`() {
            val seenAt = steadyAt
            confirmedAt = steadyAt
            while (guard.mayAct("g") || steadyAt == seenAt) {
                assertFalse(guard.mayBegin(seenAt, isPredecessorGone = false))
                pass(50.milliseconds)
                if (steadyAt - seenAt > 10.seconds) break
            }
            pass(1.seconds)

            assertTrue(guard.mayBegin(seenAt, isPredecessorGone = false))
        }

        @Test
        fun `a successor of a process that has ended begins at once`() {
            assertTrue(guard.mayBegin(steadyAt, isPredecessorGone = true))
        }
    }

    @Nested
    inner class WhereRanksCheckFences {
        @Test
        fun `holders may act at any time`() {
            val guard = guard(areFencesChecked = true)
            pass(60.seconds)

            assertTrue(guard.mayAct("g"))
            assertTrue(guard.mayBegin(steadyAt, isPredecessorGone = false))
        }
    }
}
