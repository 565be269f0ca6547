package org.shallotplank.gateway.budget

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested

class MemoryBudgetTest {
    private var now = Instant.fromEpochSeconds(1_000)
    private var dropped = 0
    private val budget = MemoryBudget(
        maxBytes = 1_000_000,
        messageReserveBytes = 100_000,
        onMessageRefused = { dropped++ },
        now = { now }
    )
    private val closed = mutableListOf<String>()

    private fun open(name: String, bytes: Long = 0, running: Boolean = false) =
        budget.open { closed += name }.also {
            it.isRunning = running
            it.set(HeldFor.BODY, bytes)
        }

    /** Guards against a process that runs out of memory, and against closing the wrong callers. */
    @Nested
    inner class AtTheLimit {
        @Test
        fun `who holds most for longest without progress is closed first`() {
            open("old and small", 100_000)
            now += 1.seconds
            open("old and large", 400_000)
            now += 3.seconds
            open("new and large", 400_000).onProgress(now)
            open("newest", 200_000)
            assertEquals(listOf("old and large"), closed)
            assertEquals(700_000, budget.usedBytes)
        }

        @Test
        fun `a running request is closed only if nothing else is held`() {
            open("running", 900_000, running = true)
            now += 5.seconds
            open("arriving", 200_000)
            assertEquals(listOf("arriving"), closed)
        }

        @Test
        fun `an answer that is still read is cut only if nothing else is held`() {
            open("read").set(HeldFor.UNREAD, 900_000)
            now += 5.seconds
            open("arriving", 200_000)
            assertEquals(listOf("arriving"), closed)
        }

        @Test
        fun `closed connections count no more`() {
            val share = open("first", 900_000)
            open("second", 200_000)
            assertEquals(listOf("first"), closed)
            share.set(HeldFor.UNREAD, 500_000)
            assertEquals(200_000, budget.usedBytes)
        }
    }

    /** Guards against callers that keep an entry from its store, and against many long messages. */
    @Nested
    inner class Messages {
        @Test
        fun `have a reserve that callers cannot use`() {
            open("callers", 1_000_000)
            assertTrue(budget.hold(100_000))
            assertTrue(closed.isEmpty())
            assertFalse(budget.hold(1))
            assertEquals(1, dropped)
            budget.free(100_000)
            assertTrue(budget.hold(60_000))
            assertEquals(1_000_000, budget.usedBytes)
        }

        @Test
        fun `use what callers leave free and count like them above the reserve`() {
            open("callers", 400_000)
            assertTrue(budget.hold(450_000))
            assertEquals(budget.pauseBytes, budget.usedBytes)
            assertFalse(budget.hold(1))
            assertTrue(closed.isEmpty())
            budget.free(400_000)
            assertEquals(400_000, budget.usedBytes)
            budget.free(50_000)
            assertEquals(0, budget.messageBytes)
        }
    }

    /** Guards against refusals of callers that could be served one after the other. */
    @Nested
    inner class BelowTheLimit {
        @Test
        fun `all but the first large request wait and small ones go on`() {
            val first = open("first", 400_000)
            val second = open("second", 390_000)
            val small = open("small", 1_000)
            budget.sweep()
            assertFalse(first.isPaused)
            assertTrue(second.isPaused)
            assertFalse(small.isPaused)
            first.release()
            budget.sweep()
            assertFalse(second.isPaused)
            assertTrue(closed.isEmpty())
        }

        @Test
        fun `the first request is closed if it makes no progress and then another goes first`() {
            open("first", 400_000)
            val second = open("second", 390_000)
            open("third", 100_000)
            budget.sweep()
            now += 2.seconds
            budget.sweep()
            assertEquals(listOf("first"), closed)
            assertFalse(second.isPaused)
        }

        @Test
        fun `nobody is closed for a lack of progress while memory is left`() {
            open("slow", 400_000)
            now += 60.seconds
            budget.sweep()
            assertTrue(closed.isEmpty())
        }
    }

    /** Guards against connections of slow senders that keep all others out. */
    @Nested
    inner class ReplacedConnections {
        private fun replaced(vararg activities: ConnectionActivity) =
            connectionToReplace(activities.toList()) { it }

        @Test
        fun `are slow ones before idle ones and never running or fast ones`() {
            val slow = ConnectionActivity(
                silence = 0.1.seconds,
                arrivingFor = 5.seconds,
                arrivedBytes = 50
            )
            val fast = slow.copy(arrivedBytes = 1_000_000)
            val idle = ConnectionActivity(silence = 10.seconds)
            val running = ConnectionActivity(isRunning = true, silence = 60.seconds)
            assertEquals(slow, replaced(idle, slow, fast, running))
            assertEquals(idle, replaced(idle, fast, running))
            assertEquals(null, replaced(fast, running))
        }
    }

    /** Guards against a default that does not fit several of the largest bodies. */
    @Test
    fun `the default of an entry holds seven bodies of four megabytes`() {
        val bytes = defaultMaxBytes(96L * 1_048_576, 64L * 1_048_576)
        assertTrue(bytes / 4_194_304 >= 7)
    }
}
