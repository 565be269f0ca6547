package org.shallotplank.gateway.peer

import org.shallotplank.gateway.store.StoreRevision

/**
 * Returns the revisions of an entry's copies of the store's tables as its report carries them.
 *
 * Eras have names of their own beside the tables: entries of build 4c2d8cf read the versions and
 * skip names that are not of their tables.
 */
internal fun reportedVersions(revisions: Map<String, StoreRevision>): Map<String, Long> =
    revisions.mapValues { (_, revision) -> revision.version } +
        revisions.filterValues { it.era > 0 }.map { (table, it) -> eraName(table) to it.era }

/** Revision of the sender's copy of [table]; entries of build 4c2d8cf report no era, read as 0. */
internal fun PeerReport.revisionOf(table: String): StoreRevision? =
    tableVersions[table]?.let { StoreRevision(tableVersions[eraName(table)] ?: 0, it) }

private fun eraName(table: String) = "$table.era"
