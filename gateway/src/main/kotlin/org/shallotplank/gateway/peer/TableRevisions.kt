package org.shallotplank.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.shallotplank.gateway.store.StoreRevision

/**
 * Returns the revisions of an entry's copies of the store's tables as its report carries them.
 *
 * Eras, and how long ago the store returned from an outage, have names of their own beside the
 * tables: entries of build 4c2d8cf read the versions and skip names that are not of their tables.
 */
internal fun reportedVersions(
    revisions: Map<String, StoreRevision>,
    returnedAge: Duration? = null
): Map<String, Long> = revisions.mapValues { (_, revision) -> revision.version } +
    revisions.filterValues { it.era > 0 }.map { (table, it) -> eraName(table) to it.era } +
    listOfNotNull(returnedAge?.let { RETURNED_AGE_MILLIS to it.inWholeMilliseconds })

/** Revision of the sender's copy of [table]; entries of build 4c2d8cf report no era, read as 0. */
internal fun PeerReport.revisionOf(table: String): StoreRevision? =
    tableVersions[table]?.let { StoreRevision(tableVersions[eraName(table)] ?: 0, it) }

/** How long before this report the store returned from an outage, null if not recently. */
internal val PeerReport.returnedAge: Duration?
    get() = tableVersions[RETURNED_AGE_MILLIS]?.milliseconds

private const val RETURNED_AGE_MILLIS = "returned-age-millis"

private fun eraName(table: String) = "$table.era"
