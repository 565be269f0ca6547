package org.shallotplank.core.placement

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step

/** Takes, renews and loses a lease in the platform's table. */
public class LeaseReducer(private val settings: LeaseSettings) {
    /** Sends what is due at [now]; one request at a time. */
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

    /** Takes in the [answer] to request [number]; answers to earlier requests are ignored. */
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

    /** Gives the lease up as lost, because a newer fencing number was seen. */
    public fun lost(state: LeaseState): LeaseState = state.copy(validUntil = null, rowSeenAt = null)

    /**
     * A row of this process that it did not know of comes from a write whose answer was lost. It is
     * not taken as held, for it is unknown when the write took effect; the next write renews it.
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
