package org.shallotplank.gateway.retention

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.ObservedNotice
import org.shallotplank.core.gateway.ObservedRate
import org.shallotplank.core.gateway.UpstreamKey

/**
 * What upstreams announced about themselves, as the rows of all entries have it.
 *
 * An entry retains the notices in answers to it. A pause concerns only the entry that was asked for
 * it, so that no other entry applies it.
 *
 * @param known all notices as of now.
 * @param isListed whether an upstream may still be used.
 * @param onLearned called with the notices in a row that was read.
 */
internal class RetainedNotices(
    private val known: () -> PersistentMap<UpstreamKey, ObservedNotice>,
    private val isListed: (UpstreamKey) -> Boolean,
    private val onLearned: (PersistentMap<UpstreamKey, ObservedNotice>) -> Unit
) {
    /** Upstreams whose notices this entry retains, and when they were last listed. */
    private val own = LinkedHashMap<UpstreamKey, Instant>()
    private var written: Map<UpstreamKey, ObservedNotice> = emptyMap()
    private var checkedAt: Instant = Instant.DISTANT_PAST

    /** The notices to retain as of [now]. */
    fun notices(now: Instant): Map<UpstreamKey, ObservedNotice> = own.keys
        .associateWith { known()[it].relevantPart(now) }
        .filterValues { it != ObservedNotice() }

    /** Retains what [upstream] announced to this entry at [now]. */
    fun add(upstream: UpstreamKey, now: Instant): WriteUrgency {
        own -= upstream
        own[upstream] = now
        while (own.size > MAX_NOTICES) own -= own.keys.first()
        val notice = known()[upstream].relevantPart(now)
        val before = written[upstream] ?: ObservedNotice()
        return when {
            notice.isSame(before) -> WriteUrgency.NONE
            notice.isLeaving != before.isLeaving -> WriteUrgency.IMMEDIATE
            notice.pausedUntil > before.pausedUntil -> WriteUrgency.IMMEDIATE
            before.rate == null -> WriteUrgency.IMMEDIATE
            else -> WriteUrgency.DEFERRED
        }
    }

    /** Reads notices in the row of another entry. */
    fun readOther(notices: List<RetainedNotice>, times: StoreTimes): Unit = learn(
        notices.associate { it.key to it.toNotice(times).copy(pausedUntil = Instant.DISTANT_PAST) }
    )

    /** Reads the notices in the row that this entry wrote at [now] or before. */
    fun readOwn(notices: List<RetainedNotice>, times: StoreTimes, now: Instant) {
        notices.forEach { own.putIfAbsent(it.key, now) }
        learn(notices.associate { it.key to it.toNotice(times) })
    }

    /** Returns how soon to write what has changed at [now]. */
    fun change(now: Instant): WriteUrgency {
        if (own.isEmpty() || now - checkedAt < CHECK_INTERVAL) return WriteUrgency.NONE
        checkedAt = now
        own.keys.filter(isListed).forEach { own[it] = now }
        own.values.removeAll { now - it >= UNLISTED_RETENTION }
        val present = notices(now)
        val isSame = present.keys == written.keys &&
            present.all { (key, notice) -> notice.isSame(written.getValue(key)) }
        return if (isSame) WriteUrgency.NONE else WriteUrgency.DEFERRED
    }

    /** The notices to retain as of [now], which count as written from now on. */
    fun takeChanged(now: Instant): Map<UpstreamKey, ObservedNotice> =
        notices(now).also { written = it }

    private fun learn(notices: Map<UpstreamKey, ObservedNotice>) {
        val relevant = notices.filterValues { it != ObservedNotice() }
        if (relevant.isNotEmpty()) onLearned(relevant.toPersistentMap())
    }

    private fun ObservedNotice?.relevantPart(now: Instant): ObservedNotice {
        if (this == null) return ObservedNotice()
        return ObservedNotice(
            isLeaving = isLeaving,
            pausedUntil = pausedUntil.takeIf { it - now >= MIN_PAUSE } ?: Instant.DISTANT_PAST,
            rate = rate?.takeIf { it.requestsPerSecond != null }
        )
    }

    /** Whether both are the same, apart from when a limit was last confirmed. */
    private fun ObservedNotice.isSame(other: ObservedNotice): Boolean =
        isLeaving == other.isLeaving &&
            pausedUntil == other.pausedUntil &&
            rate?.requestsPerSecond == other.rate?.requestsPerSecond

    internal companion object {
        /** Rows that a process wrote are in force for this time after it has ended. */
        val ROW_RETENTION: Duration = 30.minutes

        /** Shorter pauses have mostly ended when processes serve that have started again. */
        private val MIN_PAUSE = 5.seconds

        /** An upstream whose row is missing may be listed again for some seconds. */
        private val UNLISTED_RETENTION = 60.seconds
        private val CHECK_INTERVAL = 500.milliseconds

        /** Bounds a row. */
        private const val MAX_NOTICES = 64
    }
}

private val RetainedNotice.key: UpstreamKey get() = UpstreamKey(InstanceId(id), incarnation)

private fun RetainedNotice.toNotice(times: StoreTimes): ObservedNotice {
    val at = times.toInstant(atMillis)
    return ObservedNotice(
        isLeaving = isLeaving,
        pausedUntil = pauseLeftMillis?.let { at + it.milliseconds } ?: Instant.DISTANT_PAST,
        rate = requestsPerSecond?.let { ObservedRate(it, times.toInstant(limitedAtMillis)) }
    )
}

internal fun ObservedNotice.toRetained(
    key: UpstreamKey,
    times: StoreTimes,
    now: Instant
): RetainedNotice = RetainedNotice(
    id = key.id.value,
    incarnation = key.incarnation,
    atMillis = times.toMillis(now),
    isLeaving = isLeaving,
    pauseLeftMillis = (pausedUntil - now).inWholeMilliseconds.takeIf { it > 0 },
    requestsPerSecond = rate?.requestsPerSecond,
    limitedAtMillis = rate?.let { times.toMillis(it.observedAt) }
)
