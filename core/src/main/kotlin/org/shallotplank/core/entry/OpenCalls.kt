package org.shallotplank.core.entry

import kotlin.time.Instant
import org.shallotplank.core.InstanceId
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason

internal fun EntryState.noteRefusal(
    upstream: InstanceId,
    refusal: Refusal,
    now: Instant
): EntryState {
    val isFault = refusal.reason in UPSTREAM_FAULTS
    return noteOutcome(upstream, succeeded = if (isFault) false else null, now)
}

/** Records the end of an attempt; [succeeded] is null if it says nothing of the upstream. */
internal fun EntryState.noteOutcome(
    upstream: InstanceId,
    succeeded: Boolean?,
    now: Instant
): EntryState {
    val known = upstreams[upstream] ?: return this
    val view = known.view
    val noted = when (succeeded) {
        true -> view.copy(consecutiveFailures = 0)
        false -> view.copy(
            consecutiveFailures = view.consecutiveFailures + 1,
            lastFailureAt = now
        )
        null -> view
    }
    val counted = known.copy(view = noted)
    return copy(upstreams = upstreams.put(upstream, counted))
        .countOutstanding(upstream, change = -1)
}

internal fun EntryState.countOutstanding(upstream: InstanceId, change: Int): EntryState {
    val known = upstreams[upstream] ?: return this
    val outstanding = (known.view.outstanding + change).coerceAtLeast(0)
    val counted = known.copy(view = known.view.copy(outstanding = outstanding))
    return copy(upstreams = upstreams.put(upstream, counted))
}

internal fun EntryState.put(call: Call): EntryState =
    copy(calls = calls.put(call.request.requestId, call))

internal fun EntryState.remove(call: Call): EntryState {
    val left = (callsByCustomer[call.customer.name] ?: 1) - 1
    return copy(
        calls = calls.remove(call.request.requestId),
        callsByCustomer = when (left) {
            0 -> callsByCustomer.remove(call.customer.name)
            else -> callsByCustomer.put(call.customer.name, left)
        }
    )
}

private val UPSTREAM_FAULTS = setOf(
    RefusalReason.UPSTREAM_LOST,
    RefusalReason.UPSTREAM_CRASHED,
    RefusalReason.UPSTREAM_UNREACHABLE
)
