package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.caller.sharedPartsOf

class SharedPartsTest {
    private fun parts(vararg values: String) =
        sharedPartsOf(values.toList()).map { it.value }.toSet()

    @Nested
    inner class PartsOfAPrompt {
        @Test
        fun `are all parts but the last, without their token counts`() {
            assertEquals(setOf("5c1e", "91bd"), parts("5c1e:800, 91BD:410,e440:250"))
        }

        @Test
        fun `are none without a header, with one part and with empty entries`() {
            assertEquals(emptySet(), parts())
            assertEquals(emptySet(), parts("5c1e:800"))
            assertEquals(emptySet(), parts(",, ,"))
        }

        @Test
        fun `are bounded in number and length`() {
            val many = (1..100).joinToString(",") { "p$it:1" }
            assertEquals(32, parts(many).size)
            assertEquals(setOf("b"), parts("${"a".repeat(65)}:1,b:1,c:1"))
        }
    }
}
