package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.serialization.json.Json
import org.shallotplank.gateway.store.StoreRow

/**
 * A table that entries exchange with each other and that the store does not have.
 *
 * @property version changes with each change that the others should learn; null while the table is
 *   empty.
 * @property rows the rows as of now.
 * @property learn called with the rows of another entry.
 * @property sharing how the rows of an entry reach all others.
 * @property learnFrom called instead of [learn] by those that need to know whose rows they are and
 *   how old.
 */
internal class PeerTable(
    val name: String,
    val version: () -> Long?,
    val rows: () -> List<RowCopy>,
    val learn: (List<StoreRow>) -> Unit,
    val sharing: TableSharing = TableSharing.BY_ENTRY,
    val learnFrom: (PeerRows) -> Unit = { learn(it.rows) }
)

/** How the rows of a [PeerTable] reach all entries. */
internal enum class TableSharing {
    /** Hubs pass on the rows of each entry as its own. */
    BY_ENTRY,

    /** What an entry learns becomes part of its own rows. */
    ACCUMULATED,

    /**
     * As [ACCUMULATED], and versions are digests that are equal for equal rows of all entries, so
     * that entries fetch rows once that many offer.
     */
    DIGESTED
}

/** Rows of the entry [instance], which it read no earlier than [readAt]. */
internal class PeerRows(val instance: String, val readAt: Instant, val rows: List<StoreRow>)

/**
 * The tables that entries exchange beside their reports.
 *
 * A report names the versions of the tables, and others fetch a table when its version has changed.
 * New state travels in this way because entries of earlier builds reject reports with unknown
 * fields, but skip unknown tables.
 */
internal class PeerTables(private val tables: List<PeerTable>, private val clock: Clock) {
    private val merged = tables.filter { it.sharing == TableSharing.DIGESTED }.associate {
        it.name to
            MergedVersions()
    }

    /** Versions of the tables that are not empty, by name. */
    val versions: Map<String, Long>
        get() = tables.mapNotNull { table -> table.version()?.let { table.name to it } }.toMap()

    /** The copy of table [name], null if there is no such table or it is empty. */
    fun copy(name: String): TableCopy? {
        val table = tables.find { it.name == name } ?: return null
        return table.version()?.let { TableCopy(it, table.rows()) }
    }

    /** Fetches by [fetch] the tables of the entry in [view] whose rows are not known yet. */
    suspend fun follow(view: PeerView, fetch: suspend (table: String) -> TableCopy?) {
        val report = view.report ?: return
        for (table in tables) {
            val offered = report.tableVersions[table.name]
                ?.let { OfferedVersion(report.incarnation, it) }
            if (offered != null && takeIfWanted(table, offered, view)) {
                val requestedAt = clock.now()
                fetch(table.name)?.let { learn(table, offered, it, view, requestedAt) }
            }
        }
    }

    private fun takeIfWanted(table: PeerTable, offered: OfferedVersion, view: PeerView): Boolean {
        if (offered == view.fetchedVersions[table.name]) return false
        val versions = merged[table.name] ?: return true
        table.version()?.let(versions::add)
        return versions.takeIfWanted(offered.version, clock.now())
    }

    /** The rows of this entry that hubs pass on as its own. */
    fun ownTables(): List<EntryTable> = tables.filter { it.sharing == TableSharing.BY_ENTRY }
        .mapNotNull { table ->
            table.version()?.let { EntryTable(table.name, it, ageMillis = 0, table.rows()) }
        }

    /** Learns the rows of the entry in [view] that came with its report as of [sentAt]. */
    fun learn(view: PeerView, received: List<EntryTable>, sentAt: Instant) {
        val report = view.report ?: return
        for (copy in received) {
            val table = tables.find { it.name == copy.name } ?: continue
            val offered = OfferedVersion(report.incarnation, copy.version)
            val readAt = sentAt - copy.ageMillis.milliseconds
            if (offered != view.fetchedVersions[table.name]) {
                learn(table, offered, TableCopy(copy.version, copy.rows), view, readAt)
            }
        }
    }

    private fun learn(
        table: PeerTable,
        offered: OfferedVersion,
        copy: TableCopy,
        view: PeerView,
        readAt: Instant
    ) {
        view.fetchedVersions[table.name] = offered
        // The copy may be newer than the offer.
        merged[table.name]?.add(copy.version)
        if (table.sharing == TableSharing.BY_ENTRY) {
            view.tables[table.name] = ReceivedTable(copy.version, copy.rows, readAt)
        }
        table.learnFrom(PeerRows(view.report?.instance.orEmpty(), readAt, copy.storeRows()))
    }
}

/** Versions of a merged table whose rows an entry has. */
private class MergedVersions {
    private val known = LinkedHashSet<Long>()
    private var fetchedAt: Instant = Instant.DISTANT_PAST

    fun add(version: Long) {
        known -= version
        known += version
        if (known.size > MAX_KNOWN) known -= known.first()
    }

    /** Whether to fetch [version] at [now], which counts as done. */
    fun takeIfWanted(version: Long, now: Instant): Boolean {
        if (version < DIGEST_BIT) return true
        if (version in known || now - fetchedAt < MIN_INTERVAL) return false
        fetchedAt = now
        return true
    }

    private companion object {
        /** More than there are entries, each of which may have a version of its own for a while. */
        const val MAX_KNOWN = 1_024

        /**
         * Bounds the fetches while entries add different knowledge to the same crash. Any entry
         * that has merged the others' rows can be asked next, so that a few fetches suffice.
         */
        val MIN_INTERVAL = 500.milliseconds
    }
}

/** Version of a table that one incarnation of an entry offers. */
internal data class OfferedVersion(val incarnation: Long, val version: Long)

/** Format of the rows; later builds may add fields. */
internal val peerTableJson = Json { ignoreUnknownKeys = true }
