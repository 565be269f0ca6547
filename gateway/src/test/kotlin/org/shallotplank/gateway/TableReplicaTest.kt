package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.store.RowChange
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

class TableReplicaTest {
    private val replica = TableReplica()

    private fun read(era: Long, version: Long, vararg keys: String): Boolean {
        val rows = keys.map { StoreRow(it, "of era $era", version) }
        return replica.replace(TableContents(rows, StoreRevision(era, version)))
    }

    private fun lost(): List<String> = replica.lostRows.map { it.key }

    /** Guards against a lost history of a restored store that displaces the new one. */
    @Nested
    inner class ContentsOfAnEarlierEra {
        @Test
        fun `are ignored whatever their version is`() {
            read(era = 2, version = 35, "a")
            assertFalse(read(era = 1, version = 90, "a", "b"))
            assertEquals(listOf("of era 2"), replica.rows.map { it.value })
        }

        @Test
        fun `are ignored as changes`() {
            read(era = 2, version = 35, "a")
            val row = StoreRow("a", "of era 1", 90)
            val changes = TableChanges(listOf(RowChange.Written(row)), StoreRevision(1, 90))
            assertFalse(replica.apply(changes))
            assertEquals(StoreRevision(2, 35), replica.revision)
        }
    }

    /** Guards against readers that take what is written in a new era for a row of the copy. */
    @Nested
    inner class ANewEra {
        @Test
        fun `is a change even if the rows are the same`() {
            val rows = listOf(StoreRow("a", "1", 3))
            replica.replace(TableContents(rows, StoreRevision(era = 1, version = 9)))
            assertFalse(replica.replace(TableContents(rows, StoreRevision(era = 1, version = 10))))
            assertTrue(replica.replace(TableContents(rows, StoreRevision(era = 2, version = 9))))
        }
    }

    /** Guards against zones back in service and forgotten entries after a restoration. */
    @Nested
    inner class RowsThatARestoredStoreLacks {
        @Test
        fun `are lost rows until they are written again`() {
            read(era = 1, version = 36, "a", "b", "c")
            assertEquals(emptyList(), lost())
            assertTrue(read(era = 2, version = 30, "a"))
            assertEquals(listOf("b", "c"), lost())
            val row = StoreRow("b", "again", 31)
            replica.apply(TableChanges(listOf(RowChange.Written(row)), StoreRevision(2, 31)))
            assertEquals(listOf("c"), lost())
        }

        @Test
        fun `are forgotten when somebody removes them`() {
            read(era = 1, version = 36, "a", "b")
            read(era = 2, version = 30, "a")
            val changes = TableChanges(listOf(RowChange.Removed("b")), StoreRevision(2, 31))
            assertTrue(replica.apply(changes))
            assertEquals(emptyList(), lost())
        }

        @Test
        fun `are forgotten once`() {
            read(era = 1, version = 36, "a", "b")
            read(era = 2, version = 30, "a")
            assertTrue(replica.forgetLostRows())
            assertFalse(replica.forgetLostRows())
        }
    }
}
