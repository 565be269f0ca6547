package org.shallotplank.core.group

import kotlin.random.Random
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer

/** All ranks of a group use the same expert map in every step, whatever faults occur. */
class ExpertMapFuzz {
    @Property(tries = 1500, seed = "41", shrinking = ShrinkingMode.BOUNDED)
    internal fun `no step runs with two maps, and the group recovers`(
        @ForAll("chains") chain: ActionChain<GroupSimulation>
    ) {
        val simulation = chain.withInvariant("same map") { assertNull(it.violation) }.run()
        simulation.endFaults()
        simulation.runWithoutFaults(rounds = 300)
        val stepBefore = simulation.lowestStep
        val appliedBefore = simulation.applied
        simulation.propose(isStale = false, acquires = true)
        simulation.runWithoutFaults(rounds = 40)
        assertNull(simulation.violation)
        assertTrue(simulation.lowestStep > stepBefore, "the group makes no steps")
        assertTrue(simulation.applied > appliedBefore, "the proposal was not applied")
    }

    @Provide
    internal fun chains(): Arbitrary<ActionChain<GroupSimulation>> =
        ActionChain.startWith { GroupSimulation().apply { runWithoutFaults(rounds = 40) } }
            .withAction(6, action("random events") { runRandomEvents(Random(it), count = 60) })
            .withAction(3, action("run without faults") { runWithoutFaults(rounds = 1 + it % 8) })
            .withAction(4, action("propose") { propose(isStale = false, acquires = it % 2 == 0) })
            .withAction(1, action("stale proposal") { propose(isStale = true, acquires = false) })
            .withAction(2, action("advance time") { advanceTime((it % 1500).milliseconds) })
            .withAction(1, action("restart agent") { restartAgent(it % 3) })
            .withAction(1, action("restart engine") { restartEngine(it % 3) })
            .withAction(1, action("notice restart") { noticeEngineRestart(it % 3) })
            .withAction(1, action("second sequencer") { replaceSequencer(keepsOld = true) })
            .withAction(1, action("pause or resume") { togglePause(it % 4) })
            .withMaxTransformations(40)

    private fun action(name: String, change: GroupSimulation.(Int) -> Unit) =
        object : Action.Independent<GroupSimulation> {
            override fun transformer(): Arbitrary<Transformer<GroupSimulation>> =
                Arbitraries.integers().between(0, 1_000_000).map { number ->
                    Transformer.mutate("$name $number") { it.change(number) }
                }
        }
}
