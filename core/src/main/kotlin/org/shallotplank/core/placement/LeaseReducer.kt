package org.shallotplank.core.placement

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step

/** Acquires and renews a lease in the platform's table, and detects its loss. */
public class LeaseReducer(private val settings: LeaseSettings) {
    /**
     * Requests the read or write that is due at [now].
     *
     * Waits for the answer to an open request for [LeaseSettings.renewalInterval] at most, and then
     * reads the row again.
     */
    public fun tick(state: LeaseState, now: Instant): Step<LeaseState, LeaseEffect> {
        val open = state.request
        if (open != null && now - open.sentAt < settings.renewalInterval) return Step(state)
        val seenAt = state.rowSeenAt ?: return read(state, now)
        return when {
            open != null -> read(state, now)
            state.heldFencing(now) != null -> renewWhenDue(state, now)
            canTake(state, seenAt, now) -> take(state, now)
            else -> read(state, now)
        }
    }

    private fun renewWhenDue(state: LeaseState, now: Instant): Step<LeaseState, LeaseEffect> {
        val validUntil = checkNotNull(state.validUntil)
        val renewsAt = validUntil - settings.duration + settings.renewalInterval
        if (now < renewsAt) return Step(state)
        return write(state, checkNotNull(state.row), now)
    }

    private fun canTake(state: LeaseState, seenAt: Instant, now: Instant): Boolean =
        state.row == null ||
            state.row.holder == state.holder ||
            now - seenAt >= settings.duration + settings.graceDuration

    private fun take(state: LeaseState, now: Instant): Step<LeaseState, LeaseEffect> {
        val fencing = FencingNumber((state.row?.fencing ?: FencingNumber.None).value + 1)
        return write(state, LeaseRow(state.holder, fencing), now)
    }

    private fun read(state: LeaseState, now: Instant): Step<LeaseState, LeaseEffect> {
        val number = state.lastRequest + 1
        val waiting = state.copy(request = LeaseRequest(number, now), lastRequest = number)
        return Step(waiting, persistentListOf(LeaseEffect.Read(number)))
    }

    private fun write(
        state: LeaseState,
        row: LeaseRow,
        now: Instant
    ): Step<LeaseState, LeaseEffect> {
        val number = state.lastRequest + 1
        val request = LeaseRequest(number, now, newRow = row)
        val waiting = state.copy(request = request, lastRequest = number)
        val effect = LeaseEffect.Write(number, row, expectedVersion = state.rowVersion)
        return Step(waiting, persistentListOf(effect))
    }

    /** Applies the [answer] to request [number]; ignores answers to earlier requests. */
    public fun answered(
        state: LeaseState,
        number: Long,
        answer: LeaseAnswer,
        now: Instant
    ): LeaseState {
        val request = state.request?.takeIf { it.number == number } ?: return state
        return when (answer) {
            is LeaseAnswer.Unavailable -> state
            is LeaseAnswer.Found -> found(state, answer, now)
            is LeaseAnswer.Written -> written(state, request, answer.version, now)
        }
    }

    /** Marks the lease as lost because a newer fencing number was seen. */
    public fun lost(state: LeaseState): LeaseState = state.copy(validUntil = null, rowSeenAt = null)

    /**
     * Applies a row that was read.
     *
     * A new row with this process as the holder comes from a write whose answer was lost. The lease
     * does not count as held, because the time of that write is unknown; the next write takes it
     * again with a higher fencing number.
     */
    private fun found(state: LeaseState, answer: LeaseAnswer.Found, now: Instant): LeaseState {
        val isSame = answer.version == state.rowVersion && state.rowSeenAt != null
        return state.copy(
            row = answer.row,
            rowVersion = answer.version,
            rowSeenAt = if (isSame) state.rowSeenAt else now,
            validUntil = if (isSame) state.validUntil else null,
            request = null
        )
    }

    private fun written(
        state: LeaseState,
        request: LeaseRequest,
        version: Long,
        now: Instant
    ): LeaseState {
        val row = request.newRow ?: return state
        return state.copy(
            row = row,
            rowVersion = version,
            rowSeenAt = now,
            validUntil = request.sentAt + settings.duration,
            request = null
        )
    }
}
