package org.shallotplank.gateway.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import org.shallotplank.core.work.RequestSize

class StatedSizeTest {
    @Test
    fun `the prompt, the maximum and the hint are read`() {
        assertEquals(RequestSize(714, 240, 95), requestSizeOf("714,240", " 95 "))
        assertEquals(RequestSize(promptTokens = 714), requestSizeOf("714", lengthHint = null))
    }

    /** Guards against a request that is rejected, or counted wrongly, for a malformed header. */
    @Test
    fun `values that are no numbers count as not stated`() {
        listOf("", ",", "a,b", "-1,0", "99999999999,1e9", "1.5,2.5").forEach {
            assertEquals(RequestSize(), requestSizeOf(it, lengthHint = "-"), it)
        }
    }
}
