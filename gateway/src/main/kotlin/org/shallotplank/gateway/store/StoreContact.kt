package org.shallotplank.gateway.store

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * When the store could be reached, as all calls of one process show it together.
 *
 * Rows expire while their writers cannot reach the store, and are written again soon after its
 * return. Until then, a missing row does not show that its writer has left.
 *
 * Not thread-safe; use it on the event loop only.
 *
 * @property rewriteGrace time after a return in which writers write expired rows again.
 */
public class StoreContact(
    private val clock: Clock,
    public val rewriteGrace: Duration = Duration.ZERO
) {
    /** When the store last answered any call. */
    public var answeredAt: Instant = Instant.DISTANT_PAST
        private set

    /** When the store was last found to answer after an outage or to be restored from a copy. */
    public var returnedAt: Instant = Instant.DISTANT_PAST
        private set

    /** When all writers have had the time to write their rows again since [returnedAt]. */
    public val graceEndsAt: Instant get() = returnedAt + rewriteGrace

    /** Called when the store answers again; open calls that began before then may be lost. */
    public var onAnswersAgain: (at: Instant) -> Unit = {}

    private var hasFailed = false
    private var era: Long? = null

    /** Records a call that was not answered, or refused. */
    public fun onFailure() {
        hasFailed = true
    }

    /** Records that the store answered at [at], this process or one that supplies it. */
    public fun onAnswer(at: Instant = clock.now()) {
        val lastAnswerAt = answeredAt
        if (at <= lastAnswerAt) return
        answeredAt = at
        if (!hasFailed) return
        hasFailed = false
        val isGracePending = lastAnswerAt < graceEndsAt
        if (isGracePending || at - lastAnswerAt >= MIN_EXPIRY_TIME) returnedAt = at
        if (at - lastAnswerAt >= MIN_SILENCE) onAnswersAgain(at)
    }

    /** Records that an answer was of [answered]; a later era than before shows a restoration. */
    public fun onEra(answered: Long) {
        val known = era
        if (known == null || answered > known) era = answered
        if (known != null && answered > known) returnedAt = clock.now()
    }

    /** Records when the process that supplies copies found the store answering again. */
    public fun onSupplierReturned(at: Instant) {
        returnedAt = maxOf(returnedAt, at)
    }

    private companion object {
        /**
         * Writers may be without the store for this time before a row expires. A shorter outage is
         * over when the first answer is missed, so that its end is not known.
         */
        val MIN_EXPIRY_TIME = 1.5.seconds

        /** Refusals of single calls, between answers to others, lose no further calls. */
        val MIN_SILENCE = 1.seconds
    }
}
