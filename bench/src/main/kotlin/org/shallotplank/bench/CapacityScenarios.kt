package org.shallotplank.bench

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/** Scenarios that measure capacity. */
internal val capacityScenarios: PersistentList<Scenario> = persistentListOf(
    Scenario(
        name = "capacity",
        description = "spread of a change, cost of one member, memory and work of single things",
        run = ::capacity
    )
)

/** Measures all growth rates from which the capacity page is calculated. */
private fun capacity(seed: Long): ScenarioResult {
    val spread = changeSpread(seed)
    val others = memberCost(seed).figures + memorySlopes().figures + workCost().figures
    return spread.copy(figures = spread.figures + others)
}
