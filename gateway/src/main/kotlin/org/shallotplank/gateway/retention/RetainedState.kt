package org.shallotplank.gateway.retention

import kotlin.time.Instant

/** Everything that an entry retains, and what it reads of the rows of others. */
internal class RetainedState(
    val requests: RetainedRequests,
    val promptCrashes: RetainedPromptCrashes
) {
    val isEmpty: Boolean get() = requests.records.isEmpty() && promptCrashes.crashes.isEmpty()

    /** Reads the [row] with [key] of another entry; returns how soon to write the own one. */
    fun readOther(key: String, row: RetainedRow, times: StoreTimes): WriteUrgency {
        promptCrashes.read(row.promptCrashes, times)
        return requests.readOther(key, row.requests, times)
    }

    /** Reads the row that this entry wrote, maybe before a restart. */
    fun readOwn(row: RetainedRow, times: StoreTimes) {
        promptCrashes.readOwn(row.promptCrashes, times)
        requests.readOwn(row.requests, times)
    }

    /** Forgets the row with [key], which was deleted. */
    fun removeOther(key: String): Unit = requests.removeOther(key)

    /** Drops what no longer counts at [now]; returns how soon to write what has changed. */
    fun update(now: Instant): WriteUrgency = maxOf(requests.expire(now), promptCrashes.change())

    /** The row to write. */
    fun toRow(times: StoreTimes): RetainedRow {
        val crashes = promptCrashes.takeChanged()
        val expiresAt = requests.records.map { it.expiresAt } +
            crashes.map { it.at + promptCrashes.timeToLive }
        return RetainedRow(
            requests = requests.records.map { it.toRetained(times) },
            promptCrashes = crashes.map { it.toRetained(times) },
            expiresAtMillis = expiresAt.maxOrNull()?.let(times::toMillis)
        )
    }
}
