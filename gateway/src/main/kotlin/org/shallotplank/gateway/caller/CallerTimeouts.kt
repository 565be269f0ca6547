package org.shallotplank.gateway.caller

import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.ShedCause

/** What a caller that exceeds a timeout leads to. */
internal sealed interface Overdue {
    /** The connection is closed, because of [shed] if that is not null. */
    class Close(val shed: ShedCause? = null) : Overdue

    /** The request that is arriving is refused. */
    class Reject(val rejected: RequestReading.Rejected) : Overdue
}

/** Decides which timeout of [CallerLimits] a caller exceeds. */
internal class CallerTimeouts(
    private val listener: CallerListener,
    private val reader: RequestReader,
    private val answers: AnswerWriter
) {
    /** Checks a caller whose connection closes; [readAt] is when bytes last arrived. */
    fun whileClosing(now: Instant, readAt: Instant, discarded: DiscardedRequest?): Overdue? {
        ofReading(now)?.let { return it }
        if (discarded == null || answers.isUnread) return null
        val isOver = discarded.isOver(now, answers.progressAt, readAt, listener.limits)
        return if (isOver) Overdue.Close() else null
    }

    /** Checks a caller that may send a request; [readAt] is when bytes last arrived. */
    fun whileOpen(now: Instant, readAt: Instant): Overdue? {
        ofReading(now)?.let { return it }
        val isIdle = now - readAt > listener.limits.idleTimeout && !answers.isUnread
        val rejected = reader.overdue(now, listener.limits, isSilent = isIdle)
        return when {
            rejected != null -> Overdue.Reject(rejected)
            isIdle -> Overdue.Close()
            else -> null
        }
    }

    /** Checks whether the caller has stopped to read its answer. */
    fun ofReading(now: Instant): Overdue? = Overdue.Close(ShedCause.SLOW_READER)
        .takeIf { answers.isUnreadFor(now, listener.limits.idleTimeout) }
}
