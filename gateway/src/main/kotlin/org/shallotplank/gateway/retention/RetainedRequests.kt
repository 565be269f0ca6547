package org.shallotplank.gateway.retention

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.mutate
import org.shallotplank.core.AttemptId
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.core.quarantine.withinLimit

/**
 * Requests that crashed upstreams, as the rows of all entries have them.
 *
 * An entry retains the crashes that it observed. An answer at any entry clears the request's
 * crashes in all rows: the entry that got it retains the time of the answer until they are gone.
 *
 * @param known the quarantine as of now.
 * @param onLearned called with each record that changes [known].
 */
internal class RetainedRequests(
    private val known: () -> Quarantine,
    private val onLearned: (CrashRecord) -> Unit
) {
    private var own = Quarantine(timeToLive = known().timeToLive)
    private val others = HashMap<String, List<CrashRecord>>()

    /** Records to retain. */
    val records: Collection<CrashRecord> get() = own.records.values

    private val timeToLive: Duration get() = own.timeToLive

    /** Retains [record], which this entry observed; returns how soon to write it. */
    fun add(record: CrashRecord): WriteUrgency {
        val isAnswer = record.crashes.isEmpty()
        if (isAnswer && !isRetained(record.fingerprint)) return WriteUrgency.NONE
        own = own.merge(record).limited()
        return if (isAnswer) WriteUrgency.DEFERRED else WriteUrgency.IMMEDIATE
    }

    /** Reads the row with [key] of another entry; returns how soon to write the own one. */
    fun readOther(key: String, requests: List<RetainedRequest>, times: StoreTimes): WriteUrgency {
        val read = requests.map { it.toRecord(times, timeToLive) }
        others[key] = read
        read.forEach(::learn)
        return withoutAnswered(read.filter { it.isAnswered })
    }

    /** Reads the row that this entry wrote, maybe before a restart. */
    fun readOwn(requests: List<RetainedRequest>, times: StoreTimes) {
        val read = requests.map { it.toRecord(times, timeToLive) }
        own = read.fold(own, Quarantine::merge).limited()
        read.forEach(::learn)
    }

    /** Forgets the row with [key], which was deleted. */
    fun removeOther(key: String) {
        others -= key
    }

    /** Drops what no longer counts at [now]; returns how soon to write that. */
    fun expire(now: Instant): WriteUrgency {
        if (own.records.isEmpty()) return WriteUrgency.NONE
        val kept = own.expire(now).records.mutate { records ->
            records.values.removeAll { isAnswerKnown(it, now) }
        }
        if (kept.size == own.records.size) return WriteUrgency.NONE
        own = own.copy(records = kept)
        return WriteUrgency.DEFERRED
    }

    /** Whether all entries have had the time to read the answer that [record] consists of. */
    private fun isAnswerKnown(record: CrashRecord, now: Instant): Boolean =
        record.crashes.isEmpty() &&
            now - record.answeredAt >= ANSWER_RETENTION &&
            !isRetainedByOthers(record.fingerprint)

    private fun isRetained(fingerprint: RequestFingerprint): Boolean =
        fingerprint in own.records || isRetainedByOthers(fingerprint)

    private fun isRetainedByOthers(fingerprint: RequestFingerprint): Boolean =
        others.values.any { records ->
            records.any { it.fingerprint == fingerprint && it.crashes.isNotEmpty() }
        }

    private fun withoutAnswered(answered: List<CrashRecord>): WriteUrgency {
        var kept = own.records
        for (record in answered) {
            val present = kept[record.fingerprint] ?: continue
            if (present.crashes.isEmpty()) continue
            val cleared = own.merge(record).records.getValue(record.fingerprint)
            if (cleared.crashes.isEmpty()) kept = kept.remove(record.fingerprint)
        }
        if (kept.size == own.records.size) return WriteUrgency.NONE
        own = own.copy(records = kept)
        return WriteUrgency.DEFERRED
    }

    private fun learn(record: CrashRecord) {
        val present = known().records[record.fingerprint]
        val merged = known().merge(record).records[record.fingerprint]
        // Answers also without a known crash, whose row may be read later.
        val isAnsweredSince = record.answeredAt > (present?.answeredAt ?: Instant.DISTANT_PAST)
        if (isAnsweredSince || merged.attempts != present.attempts) onLearned(record)
    }

    /** Entries convert times slightly differently, so that only the attempts can be compared. */
    private val CrashRecord?.attempts: Set<AttemptId>
        get() = this?.crashes.orEmpty().map { it.attempt }.toSet()

    private fun Quarantine.limited(): Quarantine = copy(records = records.withinLimit(MAX_RECORDS))

    private companion object {
        /** Bounds a row to about ten kilobytes; several times the requests that one crash ends. */
        const val MAX_RECORDS = 32

        /** Longer than an entry may be without the store. */
        val ANSWER_RETENTION = 60.seconds
    }
}

/** How soon a change has to be in the store. */
internal enum class WriteUrgency {
    NONE,

    /** Together with other changes, since little is lost without it. */
    DEFERRED,

    /** At once, since all processes may end at any time. */
    IMMEDIATE
}
