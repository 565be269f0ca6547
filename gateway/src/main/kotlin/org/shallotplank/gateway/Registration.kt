package org.shallotplank.gateway

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.TableReplica

/**
 * Maintains the row of an entry in the store.
 *
 * Each write expects the revision that was read, so that a delayed write cannot overwrite a later
 * one.
 */
internal class Registration(
    instance: String,
    row: PeerRow,
    private val table: String,
    private val store: MetadataStore
) {
    private val key = keyOf(instance)
    private val value = Json.encodeToString(row)
    private var writtenAt: StoreRevision? = null

    /** Writes the row whenever it is missing while [isActive], once the table was first read. */
    suspend fun keep(replica: () -> TableReplica, isActive: () -> Boolean) {
        while (isActive()) {
            val known = replica()
            if (known.isRead) ensure(known)
            delay(if (known.isRead) INTERVAL else UNREAD_INTERVAL)
        }
    }

    /** Writes the row if [replica] does not show it. */
    suspend fun ensure(replica: TableReplica) {
        if (replica.row(key)?.value == value) return
        // Until the copy has reached the last write, it does not tell whether the row is missing.
        if (writtenAt?.let { replica.revision < it } == true) return
        writtenAt = store.write(table, key, value, replica.revisionOf(key)).getOrNull()
    }

    /** Deletes the row, if [replica] shows it. */
    suspend fun remove(replica: TableReplica) {
        if (replica.row(key)?.value != value) return
        store.delete(table, key, replica.revisionOf(key))
    }

    internal companion object {
        /** Prefix of the keys of entry rows. */
        const val KEY_PREFIX = "entry/"

        /** Interval of checks whether the row was deleted. */
        private val INTERVAL = 1.seconds

        /** Short: the first read takes tens of milliseconds, and other entries wait for the row. */
        private val UNREAD_INTERVAL = 50.milliseconds

        fun keyOf(instance: String): String = KEY_PREFIX + instance
    }
}
