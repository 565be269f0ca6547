package org.shallotplank.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.AttemptId

/**
 * Tracks requests that were running when upstreams crashed, and decides which are refused.
 *
 * A request is suspect after one crash and quarantined after the second. An answer clears it: a
 * request that only ran at the same time as the one that caused the crash is cleared when its retry
 * is answered.
 * Entries send [records] to each other immediately and [merge] them; the result does not depend on
 * order or repetition.
 */
public data class Quarantine(
    val records: PersistentMap<RequestFingerprint, CrashRecord> = persistentMapOf(),
    val timeToLive: Duration = 30.minutes
) {
    /** Returns how to treat a request with [fingerprint] at [now]. */
    public fun verdict(fingerprint: RequestFingerprint, now: Instant): QuarantineVerdict {
        val record = records[fingerprint] ?: return QuarantineVerdict.CLEAR
        return when {
            record.expiresAt <= now || record.crashes.isEmpty() -> QuarantineVerdict.CLEAR
            record.crashes.size < CRASHES_TO_QUARANTINE -> QuarantineVerdict.SUSPECT
            else -> QuarantineVerdict.QUARANTINED
        }
    }

    /** Records that an upstream crashed while it ran [attempt] of [fingerprint]. */
    public fun crashed(
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
        now: Instant
    ): Quarantine = merge(
        CrashRecord(
            fingerprint = fingerprint,
            crashes = persistentListOf(Crash(attempt, now)),
            expiresAt = now + timeToLive
        )
    )

    /** Records that [fingerprint] was answered, which clears it of earlier crashes. */
    public fun answered(fingerprint: RequestFingerprint, now: Instant): Quarantine {
        if (fingerprint !in records) return this
        return merge(
            CrashRecord(fingerprint, answeredAt = now, expiresAt = now + timeToLive)
        )
    }

    /** Merges the [record] that another process has of one request. */
    public fun merge(record: CrashRecord): Quarantine {
        val merged = records[record.fingerprint]?.merge(record) ?: record.normalized()
        return copy(
            records = records.put(record.fingerprint, merged).withinLimit(MAX_RECORDS)
        )
    }

    /** Merges all records of another process. */
    public fun merge(other: Quarantine): Quarantine =
        other.records.values.fold(this) { merged, record -> merged.merge(record) }

    /** Drops the records that have expired. */
    public fun expire(now: Instant): Quarantine {
        val expired = records.values.filter { it.expiresAt <= now }
        if (expired.isEmpty()) return this
        val kept = expired.fold(records) { kept, record -> kept.remove(record.fingerprint) }
        return copy(records = kept)
    }

    private companion object {
        /** Bounds the memory against callers whose requests crash upstreams all the time. */
        const val MAX_RECORDS = 4_096
    }
}

/** How to treat a request. */
public enum class QuarantineVerdict {
    /** No crash counts against it. */
    CLEAR,

    /** An upstream crashed once while running it; it may be tried once more. */
    SUSPECT,

    /** Upstreams crashed twice while running it; it is refused and not run again. */
    QUARANTINED
}

/**
 * Drops records until [max] are left.
 *
 * The customer with the most records loses one first, so that none displaces those of others; of
 * its records, those with fewer crashes go before older ones.
 */
public fun PersistentMap<RequestFingerprint, CrashRecord>.withinLimit(
    max: Int
): PersistentMap<RequestFingerprint, CrashRecord> {
    var kept = this
    while (kept.size > max) {
        val crowded = kept.values.groupBy { it.fingerprint.customer }.values.maxBy { it.size }
        val dropped = crowded.minWith(compareBy({ it.crashes.size }, { it.expiresAt }))
        kept = kept.remove(dropped.fingerprint)
    }
    return kept
}

private fun CrashRecord.merge(other: CrashRecord): CrashRecord = copy(
    crashes = (crashes + other.crashes).toPersistentList(),
    answeredAt = maxOf(answeredAt, other.answeredAt),
    expiresAt = maxOf(expiresAt, other.expiresAt)
).normalized()

/** Keeps the latest crashes after the last answer, one per attempt, in a fixed order. */
private fun CrashRecord.normalized(): CrashRecord {
    val counting = crashes
        .filter { it.at > answeredAt }
        .groupBy { it.attempt }
        .map { (attempt, reports) -> Crash(attempt, reports.maxOf { it.at }) }
    val latest = counting
        .sortedWith(compareByDescending<Crash> { it.at }.thenBy { it.attempt.value })
        .take(CRASHES_TO_QUARANTINE)
    return copy(crashes = latest.toPersistentList())
}
