package org.shallotplank.core.work

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.UpstreamKey

/**
 * What other entries reported last of their work, with an index by upstream.
 *
 * Kept apart from what each answer changes, so that the index is built once per report.
 */
public data class WorkReports(
    val byEntry: PersistentMap<InstanceId, ReportedWork> = persistentMapOf()
) {
    private val byUpstream: Map<UpstreamKey, List<Pair<Instant, UpstreamWork>>> by lazy(
        LazyThreadSafetyMode.NONE
    ) {
        byEntry.values
            .flatMap { report ->
                report.upstreams.map { (key, work) -> key to (report.reportedAt to work) }
            }
            .groupBy({ it.first }, { it.second })
    }

    /** Replaces what [entry] reported before. */
    internal fun with(entry: InstanceId, report: ReportedWork): WorkReports {
        val isKnown = entry in byEntry
        val kept = if (isKnown || byEntry.size < MAX_ENTRIES) {
            byEntry
        } else {
            byEntry.remove(byEntry.minBy { it.value.reportedAt }.key)
        }
        return WorkReports(kept.put(entry, report))
    }

    /** What entries reported recently about [upstream]. */
    internal fun at(upstream: UpstreamKey, now: Instant): List<UpstreamWork> =
        recent(upstream, now).map { (_, work) -> work }

    /** When the oldest of the reports in [at] was made, null without any. */
    internal fun oldestAt(upstream: UpstreamKey, now: Instant): Instant? =
        recent(upstream, now).minOfOrNull { (reportedAt, _) -> reportedAt }

    private fun recent(upstream: UpstreamKey, now: Instant) = byUpstream[upstream].orEmpty()
        .filter { (reportedAt, _) -> now - reportedAt < MAX_REPORT_AGE }

    private companion object {
        /** Bounds the memory; entries that left the deployment are dropped first. */
        const val MAX_ENTRIES = 256

        /**
         * Requests of a model service last about as long, so an older report says nothing about
         * the requests that run now.
         */
        val MAX_REPORT_AGE: Duration = 2.seconds
    }
}
