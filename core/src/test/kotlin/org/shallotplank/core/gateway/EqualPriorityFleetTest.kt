package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against other decisions of entries than those of build f41f3e9 with one priority. */
class EqualPriorityFleetTest {
    @Test
    fun `requests are sent when and where build f41f3e9 sends them`() {
        val fleet = EntryFleet(
            entryCount = 5,
            upstreamCount = 12,
            slots = 8,
            reportInterval = 250.milliseconds
        )
        fleet.simulate(load = 1.4, duration = 12.seconds)
        val sends = fleet.arrivals.entries.map { it.key.toString() to it.value.toString() }
        assertEquals(SENDS_OF_F41F3E9, sends.sortedBy { it.first }.toString().hashCode())
    }

    private companion object {
        const val SENDS_OF_F41F3E9 = -597002956
    }
}
