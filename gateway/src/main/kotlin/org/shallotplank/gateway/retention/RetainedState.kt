package org.shallotplank.gateway.retention

import kotlin.time.Instant

/** Everything that an entry retains, and what it reads of the rows of others. */
internal class RetainedState(
    val requests: RetainedRequests,
    val promptCrashes: RetainedPromptCrashes,
    val notices: RetainedNotices
) {
    /** Whether nothing is left to retain at [now]. */
    fun isEmpty(now: Instant): Boolean = requests.records.isEmpty() &&
        promptCrashes.crashes.isEmpty() &&
        notices.notices(now).isEmpty()

    /** Reads the [row] with [key] of another entry; returns how soon to write the own one. */
    fun readOther(key: String, row: RetainedRow, times: StoreTimes): WriteUrgency {
        promptCrashes.read(row.promptCrashes, times)
        notices.readOther(row.notices, times)
        return requests.readOther(key, row.requests, times)
    }

    /** Reads the row that this entry wrote, maybe before a restart. */
    fun readOwn(row: RetainedRow, times: StoreTimes, now: Instant) {
        notices.readOwn(row.notices, times, now)
        promptCrashes.readOwn(row.promptCrashes, times)
        requests.readOwn(row.requests, times)
    }

    /** Forgets the row with [key], which was deleted. */
    fun removeOther(key: String): Unit = requests.removeOther(key)

    /** Drops what no longer counts at [now]; returns how soon to write what has changed. */
    fun update(now: Instant): WriteUrgency =
        maxOf(requests.expire(now), promptCrashes.change(), notices.change(now))

    /** The row to write at [now]. */
    fun toRow(times: StoreTimes, now: Instant): RetainedRow {
        val crashes = promptCrashes.takeChanged()
        val noticesByKey = notices.takeChanged(now)
        val expiresAt = requests.records.map { it.expiresAt } +
            crashes.map { it.at + promptCrashes.timeToLive } +
            noticesByKey.map { now + RetainedNotices.ROW_RETENTION }
        return RetainedRow(
            requests = requests.records.map { it.toRetained(times) },
            promptCrashes = crashes.map { it.toRetained(times) },
            notices = noticesByKey.map { (key, notice) -> notice.toRetained(key, times, now) },
            expiresAtMillis = expiresAt.maxOrNull()?.let(times::toMillis)
        )
    }
}
