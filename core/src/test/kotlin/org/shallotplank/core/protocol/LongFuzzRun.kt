package org.shallotplank.core.protocol

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * Runs the protocol fuzz for the time that `scripts/fuzz` sets; not part of the ordinary tests.
 *
 * Prints the numbers of actions, injected faults and violations, and the first violations with
 * their seeds.
 */
class LongFuzzRun {
    private val actionCounts = mutableMapOf<ActionKind, Int>()
    private val violations = mutableListOf<String>()

    @Test
    fun `finds no violation`() {
        val limit = System.getProperty("shallotplank.fuzz.minutes", "1").toInt().minutes
        val firstSeed = System.getProperty("shallotplank.fuzz.seed", "1").toLong()
        val start = TimeSource.Monotonic.markNow()
        var seed = firstSeed
        while (start.elapsedNow() < limit) runOnce(seed++)
        val faults = actionCounts.filterKeys { it in FAULTS }.values.sum()
        println("runs: ${seed - firstSeed}, from seed $firstSeed")
        println("actions: ${actionCounts.values.sum()}, of these faults injected: $faults")
        println("violations: ${violations.size}")
        violations.take(SHOWN).forEach { println(it) }
        assertEquals(0, violations.size)
    }

    private fun runOnce(seed: Long) {
        val actions = randomActions(Random(seed))
        actions.forEach { actionCounts.merge(it.kind, 1, Int::plus) }
        try {
            runProtocol(actions)
        } catch (e: AssertionError) {
            violations += "seed $seed: ${e.message}"
        } catch (e: IllegalStateException) {
            violations += "seed $seed: ${e.message}"
        }
    }

    private companion object {
        const val SHOWN = 20
        val FAULTS = ActionKind.entries.toSet() - setOf(
            ActionKind.SEND_BOOKING,
            ActionKind.SEND_FIND,
            ActionKind.SEND_DRAFT,
            ActionKind.DELIVER,
            ActionKind.ADVANCE,
            ActionKind.RESUME,
            ActionKind.TABLE_BACK,
            ActionKind.ZONE_BACK
        )
    }
}
