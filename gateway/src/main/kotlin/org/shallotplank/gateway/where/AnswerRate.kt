package org.shallotplank.gateway.where

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Limits the answers of [WhereInterface] to [MAX_PER_WINDOW] per second. */
internal class AnswerRate {
    private var windowStartedAt = Instant.DISTANT_PAST
    private var answers = 0

    /** Counts an answer at [now]; false if it is one too many. */
    fun mayAnswer(now: Instant): Boolean {
        if (now - windowStartedAt >= WINDOW) {
            windowStartedAt = now
            answers = 0
        }
        if (answers >= MAX_PER_WINDOW) return false
        answers++
        return true
    }

    internal companion object {
        /** A question costs as much as several requests, and the event loop serves callers too. */
        const val MAX_PER_WINDOW = 10
        private val WINDOW = 1.seconds
    }
}
