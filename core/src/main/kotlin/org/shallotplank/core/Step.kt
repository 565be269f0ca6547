package org.shallotplank.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/**
 * Result of reducing one event: the next [state] and the [effects] to run, in order.
 *
 * Reducers do no I/O. The runtime runs the effects and feeds their results back as events.
 */
public data class Step<out S, out E>(
    val state: S,
    val effects: PersistentList<E> = persistentListOf()
) {
    /** Applies [transform] to the state and keeps the effects. */
    public inline fun <T> map(transform: (S) -> T): Step<T, E> = Step(transform(state), effects)
}

/** Applies [next] to the state and appends its effects to the effects of this step. */
public inline fun <S, T, E> Step<S, E>.then(next: (S) -> Step<T, E>): Step<T, E> {
    val following = next(state)
    return Step(following.state, effects + following.effects)
}
