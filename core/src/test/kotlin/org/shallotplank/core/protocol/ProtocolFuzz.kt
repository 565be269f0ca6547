package org.shallotplank.core.protocol

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFailsWith
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode

/**
 * Runs the reducers of entries and agents under faults at arbitrary times.
 *
 * Checks after each action that bookings run at most once, that requests reported as not run did
 * not run, and that each answer is complete and belongs to its request. Checks at the end that
 * each request got an answer or a refusal.
 */
class ProtocolFuzz {
    @Property(tries = 1500, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    fun `each request ends in a complete answer or a correct refusal`(
        @ForAll("actionLists") actions: List<FuzzAction>
    ) = runProtocol(actions)

    @Test
    fun `finds bookings that run twice when writes are not conditional`() {
        assertFailsWith<AssertionError> {
            repeat(MUTATION_TRIES) { seed ->
                runProtocol(randomActions(Random(seed)), Mutation.UNCONDITIONAL_WRITES)
            }
        }
    }

    @Provide
    fun actionLists(): Arbitrary<List<FuzzAction>> {
        val kinds = ActionKind.entries.map { net.jqwik.api.Tuple.of(it.weight, it) }
        val action = Combinators.combine(
            Arbitraries.frequency(*kinds.toTypedArray()),
            Arbitraries.integers().between(0, 99),
            Arbitraries.integers().between(0, 99)
        ).`as` { kind, a, b -> FuzzAction(kind, a, b) }
        return action.list().ofMinSize(20).ofMaxSize(250)
    }

    private companion object {
        const val MUTATION_TRIES = 300
    }
}
