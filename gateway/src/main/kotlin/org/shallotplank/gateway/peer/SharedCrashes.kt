package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.quarantine.RequestFingerprint

/** Crashes that requests recently caused, as this entry and the others report them. */
internal class SharedCrashes(
    private val clock: Clock,
    /** Called with each crash that another entry reported first. */
    private val onLearned: (CrashRecord) -> Unit
) {
    private val seenAt = LinkedHashMap<KnownCrash, Instant>()

    /** Crashes to report to the other entries. */
    val recent: List<KnownCrash>
        get() = clock.now().let { now -> seenAt.filterValues { now - it <= REPORT_PERIOD } }
            .keys.toList()

    /**
     * Adds the crashes of [record], which this entry observed.
     *
     * A record without crashes was cleared by an answer; its earlier crashes are not reported any
     * more, since an entry that starts would take them for later than the answer.
     */
    fun add(record: CrashRecord) {
        val fingerprint = record.fingerprint
        if (record.crashes.isEmpty()) return endReportsOf(fingerprint)
        for (crash in record.crashes) {
            val known = KnownCrash(
                fingerprint.customer.value,
                fingerprint.bodySha256,
                crash.attempt.value
            )
            seenAt[known] = clock.now()
        }
    }

    private fun endReportsOf(fingerprint: RequestFingerprint) {
        val reportedUntil = clock.now() - REPORT_PERIOD - 1.milliseconds
        seenAt.keys.filter { it.bodySha256 == fingerprint.bodySha256 }
            .filter { it.customer == fingerprint.customer.value }
            .forEach { seenAt[it] = minOf(seenAt.getValue(it), reportedUntil) }
    }

    /** Records [crash] as of its arrival, because processes have different monotonic clocks. */
    fun learn(crash: KnownCrash) {
        if (seenAt.put(crash, seenAt[crash] ?: clock.now()) != null) return
        val fingerprint = RequestFingerprint(CustomerName(crash.customer), crash.bodySha256)
        val record = Quarantine()
            .crashed(fingerprint, AttemptId(crash.attempt), clock.now())
            .records.getValue(fingerprint)
        onLearned(record)
    }

    /** Forgets at [now] the crashes that no other entry reports any more. */
    fun expire(now: Instant) {
        seenAt.values.removeAll { now - it > MEMORY }
    }

    private companion object {
        val REPORT_PERIOD = 60.seconds

        /**
         * Longer than [REPORT_PERIOD] by far, since entries stop reporting a crash at different
         * times: one that forgot it at once would learn it again from the others, without end.
         */
        val MEMORY = 10.minutes
    }
}
