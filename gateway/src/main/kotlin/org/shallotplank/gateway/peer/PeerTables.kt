package org.shallotplank.gateway.peer

import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.store.StoreRow

/**
 * A table that entries exchange with each other and that the store does not have.
 *
 * @property version changes with each change that the others should learn; null while the table is
 *   empty.
 * @property rows the rows as of now.
 * @property learn called with the rows of another entry.
 */
internal class PeerTable(
    val name: String,
    val version: () -> Long?,
    val rows: () -> List<RowCopy>,
    val learn: (List<StoreRow>) -> Unit
)

/**
 * The tables that entries exchange beside their reports.
 *
 * A report names the versions of the tables, and others fetch a table when its version has changed.
 * New state travels in this way because entries of earlier builds reject reports with unknown
 * fields, but skip unknown tables.
 */
internal class PeerTables(private val tables: List<PeerTable>) {
    /** Versions of the tables that are not empty, by name. */
    val versions: Map<String, Long>
        get() = tables.mapNotNull { table -> table.version()?.let { table.name to it } }.toMap()

    /** The copy of table [name], null if there is no such table or it is empty. */
    fun copy(name: String): TableCopy? {
        val table = tables.find { it.name == name } ?: return null
        return table.version()?.let { TableCopy(it, table.rows()) }
    }

    /** Fetches the tables of the entry in [view] that differ from those fetched last. */
    suspend fun follow(view: PeerView, client: HttpClient) {
        val report = view.report ?: return
        for (table in tables) {
            val offered = report.tableVersions[table.name]
                ?.let { OfferedVersion(report.incarnation, it) }
            if (offered == null || offered == view.fetchedVersions[table.name]) continue
            val copy = fetchTable(client, table.name, TIMEOUT) ?: continue
            view.fetchedVersions[table.name] = offered
            table.learn(copy.storeRows())
        }
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}

/** Version of a table that one incarnation of an entry offers. */
internal data class OfferedVersion(val incarnation: Long, val version: Long)

/** Format of the rows; later builds may add fields. */
internal val peerTableJson = Json { ignoreUnknownKeys = true }
