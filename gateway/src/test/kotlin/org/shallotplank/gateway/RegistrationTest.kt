package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

class RegistrationTest {
    private val store = SingleTableStore()
    private val row = PeerRow(1, "10.0.0.1:1", "10.0.0.1:2", "a")
    private val registration = Registration("e1", row, "t", store)

    private fun ensure(replica: TableReplica = store.replica) =
        runBlocking { registration.ensure(replica) }

    /** Guards against a running entry that the others cannot find. */
    @Nested
    inner class ARowThatIsGone {
        @Test
        fun `is written again after the store was restored without it`() {
            val copy = store.copy()
            ensure()
            store.restore(copy)
            assertEquals(emptyList(), store.keys)
            ensure()
            assertEquals(listOf("entry/e1"), store.keys)
        }

        @Test
        fun `is written again after somebody deleted it`() {
            ensure()
            store.remove("entry/e1")
            ensure()
            assertEquals(listOf("entry/e1"), store.keys)
        }

        @Test
        fun `is not written again while the copy of the table is older than the last write`() {
            val before = TableReplica()
            before.replace(TableContents(emptyList(), StoreRevision(era = 1, version = 0)))
            ensure(before)
            val written = store.replica.revision
            ensure(before)
            assertEquals(written, store.replica.revision)
        }
    }
}
