package org.shallotplank.core.admission

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.config.Priority

/**
 * Load pattern: urgent requests alone exceed the capacity and can wait long, so that less urgent
 * ones with a short goal are never expected to start in time in the order of urgency.
 */
class StarvingPriorityTest {
    // Guards against requests that are refused on arrival and can never be chosen.
    @Test
    fun `requests behind a long urgent queue are served a quarter as often as all`() {
        val kinds = listOf(
            UrgencyKind(Priority.ORDER, perSecond = 240.0, maxWait = 4.seconds * 0.7),
            UrgencyKind(Priority.BACKGROUND, perSecond = 30.0, maxWait = 503.milliseconds * 0.7)
        )
        for (seed in 1..4) {
            val queue = AdmissionQueue(UrgencyLoad.SLOTS, 256).withUrgency(ElsewhereWaiting())
            val run = UrgencyLoad(queue, load = 1.0, seed, kinds)
                .run(60.seconds) { UrgencyLoad.SLOTS }
            val usual = 1 - run.refused.values.sum().toDouble() / run.offered.values.sum()
            val served = 1 - run.refusedShare(Priority.BACKGROUND)
            assertTrue(served >= usual / 4, "seed $seed: served $served, of all $usual")
        }
    }
}
