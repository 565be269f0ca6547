package org.shallotplank.integrationtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

class TableStoreTest {
    private val table = TableStore()

    @Nested
    inner class Commits {
        @Test
        fun `raise the version by one`() {
            table.commit(listOf(ConditionalWrite("a", 0, "first")))
            table.commit(listOf(ConditionalWrite("a", 1, "second")))
            assertEquals(TableItem("a", 2, "second"), table.read("a"))
        }

        @Test
        fun `are atomic`() {
            table.commit(listOf(ConditionalWrite("b", 0, "present")))
            val writes = listOf(ConditionalWrite("a", 0, "x"), ConditionalWrite("b", 0, "y"))
            val conflict = assertIs<CommitResult.Conflict>(table.commit(writes))
            assertEquals(listOf(TableItem("b", 1, "present")), conflict.items)
            assertEquals(TableItem("a", 0), table.read("a"))
        }
    }

    @Nested
    inner class Listings {
        @Test
        fun `return the rows of a prefix in key order up to the limit`() {
            val keys = listOf("p/3", "p/1", "q/1", "p/2")
            keys.forEach { table.commit(listOf(ConditionalWrite(it, 0, ""))) }
            assertEquals(listOf("p/1", "p/2"), table.list("p/", limit = 2).map { it.key })
        }
    }
}
