package org.shallotplank.bench.simulation

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.routing.PrefixFingerprint

/** Input of a request: a prompt with [prefix] and the number of [tokens] to generate. */
internal data class Prompt(
    val prefix: PrefixFingerprint,
    val tokens: Int,
    /** Whether the prompt crashes each engine that runs it. */
    val poison: Boolean = false
)

/** Callbacks for the progress and the end of one [Generation]. */
internal class GenerationListener(
    val onFirstToken: () -> Unit,
    val onDone: (step: Duration) -> Unit,
    val onLost: () -> Unit
)

/** A prompt that an engine is running, with its progress. */
internal class Generation(val prompt: Prompt, val listener: GenerationListener) {
    var tokensDone = 0
        private set
    private var firstTokenAt: Instant? = null

    val isPrefilled: Boolean get() = firstTokenAt != null
    val isDone: Boolean get() = tokensDone >= prompt.tokens

    fun tokenAt(now: Instant) {
        tokensDone++
        if (firstTokenAt == null) {
            firstTokenAt = now
            listener.onFirstToken()
        }
    }

    /** Mean time between tokens from the first token until [now]. */
    fun step(now: Instant): Duration {
        val first = firstTokenAt ?: return Duration.ZERO
        return if (tokensDone < 2) Duration.ZERO else (now - first) / (tokensDone - 1)
    }
}
