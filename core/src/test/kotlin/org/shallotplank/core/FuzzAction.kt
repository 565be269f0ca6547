package org.shallotplank.core

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.state.Action
import net.jqwik.api.state.Transformer

/** An action that calls [run] on the state under test with a random number from 0 to [most]. */
internal fun <S> fuzzAction(label: String, most: Int = 0, run: (S, Int) -> Unit): Action<S> =
    object : Action.Independent<S> {
        override fun transformer(): Arbitrary<Transformer<S>> =
            Arbitraries.integers().between(0, most).map { number ->
                Transformer.mutate("$label $number") { run(it, number) }
            }
    }
