package org.shallotplank.runtime

import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant
import kotlinx.coroutines.channels.Channel
import org.shallotplank.core.Step

/** Applies one event to the state; implemented by the reducers of the core module. */
internal typealias Reduce<S, V, E> = (
    state: S,
    event: V,
    now: Instant,
    random: Random
) -> Step<S, E>

/**
 * Applies events to a reducer in the order of their arrival and passes its effects to [perform].
 *
 * [perform] must not block: it starts slow work asynchronously, whose outcome is sent as an event.
 */
internal class EventLoop<S, V, E>(
    initial: S,
    private val reduce: Reduce<S, V, E>,
    private val clock: Clock,
    private val random: Random,
    private val perform: (E) -> Unit,
    /** Returns an event to apply before the next one, e.g. after a suspension, or null. */
    private val interrupt: () -> V? = { null }
) {
    private val events = Channel<V>(capacity = EVENT_CAPACITY)

    /** The state after the last event. */
    @Volatile
    var state: S = initial
        private set

    /** Queues [event]; suspends while the queue is full. */
    suspend fun send(event: V): Unit = events.send(event)

    /** Processes events until cancelled. */
    suspend fun run() {
        for (event in events) {
            interrupt()?.let(::apply)
            apply(event)
        }
    }

    private fun apply(event: V) {
        val step = reduce(state, event, clock.now(), random)
        state = step.state
        step.effects.forEach(perform)
    }

    private companion object {
        const val EVENT_CAPACITY = 16_384
    }
}
