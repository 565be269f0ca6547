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

/**
 * Load pattern: one entry under overload, whose more urgent requests also have the shorter goal.
 *
 * A less urgent request can wait twice as long. It outlasts the urgent ones while no slot becomes
 * free, and without reserved capacity it is then refused less often.
 */
class UrgencyTest {
    @Nested
    inner class UnderOverload {
        private fun refusedShares(load: Double, capacityAt: (Duration) -> Int): List<Double> {
            val runs = (1..SEEDS).map { seed ->
                val queue = AdmissionQueue(
                    UrgencyLoad.SLOTS,
                    MAX_QUEUED
                ).withUrgency(ElsewhereWaiting())
                UrgencyLoad(queue, load, seed).run(60.seconds, capacityAt)
            }
            return urgencyMix.indices.map { kind -> runs.map { it.refusedShares[kind] }.average() }
        }

        private fun assertInOrder(load: Double, capacityAt: (Duration) -> Int) {
            val shares = refusedShares(load, capacityAt)
            val isInOrder = shares.zipWithNext().all { (urgent, less) -> urgent <= less + NOISE }
            assertTrue(isInOrder, "load $load: refused $shares")
        }

        @Test
        fun `more urgent requests are not refused more often`() {
            for (load in listOf(0.9, 1.2, 1.5)) assertInOrder(load) { UrgencyLoad.SLOTS }
        }

        @Test
        fun `more urgent requests are not refused more often while the capacity keeps falling`() {
            for (load in listOf(0.7, 0.9, 1.2, 1.5)) {
                assertInOrder(load) {
                    val isLow = it.inWholeMilliseconds / 500 % 6 == 3L
                    if (isLow) UrgencyLoad.SLOTS * 6 / 10 else UrgencyLoad.SLOTS
                }
            }
        }

        @Test
        fun `each priority is served a quarter as often as all`() {
            val shares = refusedShares(load = 3.0) { UrgencyLoad.SLOTS }
            val total = urgencyMix.sumOf { it.perSecond }
            val usual = urgencyMix.zip(shares) { kind, refused ->
                (1 - refused) * kind.perSecond / total
            }.sum()
            assertTrue(shares.all { 1 - it >= usual / 4 }, "refused $shares, served of all $usual")
        }
    }

    @Nested
    inner class AWaitingRequest {
        private val random = Random(1)
        private val start = Instant.fromEpochSeconds(1_000)

        private fun request(id: String, priority: Priority, maxWait: Duration) = AdmissionRequest(
            RequestId(id),
            CustomerName("c"),
            startBy = start + 1.seconds + maxWait,
            priority = priority
        )

        /** Two slots, which requests have held for a second. */
        private fun busyQueue(): AdmissionQueue {
            var queue = AdmissionQueue(2, 16).withUrgency(ElsewhereWaiting())
            for (id in listOf("a", "b")) {
                queue = queue.offer(request(id, Priority.ORDER, 1.seconds), start, random).state
                queue = queue.release(RequestId(id), start + 1.seconds, random).state
            }
            for (id in listOf("c", "d")) {
                val offer = request(id, Priority.ORDER, 1.seconds)
                queue = queue.offer(offer, start + 1.seconds, random).state
            }
            return queue
        }

        @Test
        fun `is refused at once when a more urgent arrival delays it beyond its latest start`() {
            val late = request("late", Priority.BACKGROUND, 700.milliseconds)
            val waiting = busyQueue().offer(late, start + 1.seconds, random)
            assertEquals(listOf(AdmissionDecision.Queue(late.id)), waiting.effects.toList())

            val urgent = request("urgent", Priority.ORDER, 700.milliseconds)
            val decisions = waiting.state.offer(urgent, start + 1.seconds, random).effects
            val refusal = decisions.filterIsInstance<AdmissionDecision.Refuse>().single()
            assertEquals(late.id to RefusalReason.YIELDED, refusal.request to refusal.reason)
            assertTrue(AdmissionDecision.Queue(urgent.id) in decisions)
        }

        @Test
        fun `stays when the arrival is as urgent`() {
            val first = request("first", Priority.BACKGROUND, 700.milliseconds)
            val waiting = busyQueue().offer(first, start + 1.seconds, random).state
            val second = request("second", Priority.BACKGROUND, 1_200.milliseconds)
            val step = waiting.offer(second, start + 1.seconds, random)
            assertEquals(listOf(AdmissionDecision.Queue(second.id)), step.effects.toList())
        }
    }

    private companion object {
        const val SEEDS = 6
        const val MAX_QUEUED = 256

        /** Twice the standard error of the mean share of the rarest kind. */
        const val NOISE = 0.03
    }
}
