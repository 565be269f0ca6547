package org.shallotplank.core.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.config.Priority

/** Guards against waiting requests that are refused for a request that is itself refused. */
class YieldsTest {
    @Nested
    inner class AnUrgentArrivalThatIsRefused {
        // Guards against a yield to an arrival that is expected to be too late itself.
        @Test
        fun `leaves a waiting request in the queue when it would be too late itself`() {
            val late = request("late", Priority.BACKGROUND, 700.milliseconds)
            val urgent = request("urgent", Priority.ORDER, 300.milliseconds)
            val step = busyQueue(16).offer(late, now, random).state.offer(urgent, now, random)

            val refusal = step.effects.single() as AdmissionDecision.Refuse
            assertEquals(urgent.id to RefusalReason.WOULD_EXPIRE, refusal.request to refusal.reason)
            assertTrue(step.state.isWaiting(late.id))
        }

        // Guards against a full queue that loses a request to an arrival that is refused.
        @Test
        fun `leaves a full queue as it was when it would be too late itself`() {
            val late = request("late", Priority.BACKGROUND, 700.milliseconds)
            val urgent = request("urgent", Priority.ORDER, 300.milliseconds)
            val step = busyQueue(1).offer(late, now, random).state.offer(urgent, now, random)

            assertEquals(urgent.id, (step.effects.single() as AdmissionDecision.Refuse).request)
            assertTrue(step.state.isWaiting(late.id))
        }
    }

    @Nested
    inner class AnUrgentRequestThatExpires {
        // Guards against a yield to a request that has left the queue.
        @Test
        fun `leaves a less urgent request in the queue`() {
            val urgent = request("urgent", Priority.INTERACTIVE, 600.milliseconds)
            val other = request("other", Priority.BACKGROUND, 5.seconds)
            var queue = busyQueue(
                16
            ).offer(urgent, now, random).state.offer(other, now, random).state
            queue = queue.expire(now + 600.milliseconds, random).state

            assertEquals(listOf(other), queue.waiting.toList())
        }
    }

    private val random = Random(1)
    private val now = Instant.fromEpochSeconds(1_000)

    private fun request(id: String, priority: Priority, maxWait: Duration) = AdmissionRequest(
        RequestId(id),
        CustomerName("c"),
        startBy = now + maxWait,
        priority = priority
    )

    /** Two slots, which requests have held for a second. */
    private fun busyQueue(maxQueued: Int): AdmissionQueue {
        val before = now - 1.seconds
        var queue = AdmissionQueue(2, maxQueued).withUrgency(ElsewhereWaiting())
        for (id in listOf("a", "b")) {
            queue = queue.offer(request(id, Priority.ORDER, 1.seconds), before, random).state
            queue = queue.release(RequestId(id), now, random).state
        }
        for (id in listOf("c", "d")) {
            queue = queue.offer(request(id, Priority.ORDER, 1.seconds), now, random).state
        }
        return queue
    }
}
