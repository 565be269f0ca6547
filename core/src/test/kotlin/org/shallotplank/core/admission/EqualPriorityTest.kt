package org.shallotplank.core.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.config.Priority

/**
 * Guards against other decisions than those of build f41f3e9 where all requests of a service have
 * one priority, which earlier deployments depend on.
 */
class EqualPriorityTest {
    @Test
    fun `decisions on a random load are those of build f41f3e9`() {
        val kinds = urgencyMix.map {
            UrgencyKind(Priority.INTERACTIVE, it.perSecond, it.maxWait)
        }
        val run = UrgencyLoad(AdmissionQueue(UrgencyLoad.SLOTS, maxQueued = 8), 1.4, 3, kinds)
            .run(30.seconds) { if (it.inWholeSeconds % 4 == 3L) 12 else UrgencyLoad.SLOTS }
        assertEquals(DECISIONS_OF_F41F3E9, run.decisions.toString().hashCode())
    }

    private companion object {
        const val DECISIONS_OF_F41F3E9 = -347280633
    }
}
