package org.shallotplank.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RequestTraceTest {
    @Nested
    inner class ATrace {
        private val first = log(
            line("00:02", "e1-1", "SP5003", "\"attempt_id\":\"a1\",\"upstream\":\"u1@1\""),
            "a line of a library",
            line("00:03", "e1-2", "SP5003", "\"attempt_id\":\"a2\"")
        )
        private val second = log(
            "  12.5 collector " +
                line("00:05", "e1-1", "SP5006", "\"status\":\"502\",\"reason\":\"X\""),
            line(
                "00:04",
                "e1-1",
                "SP5004",
                "\"cause\":\"garbled\",\"upstream\":\"u1@1\",\"attempt_ms\":\"7\""
            )
        )

        @Test
        fun `holds the lines of its request from all logs in order of time`() {
            val trace = RequestTrace.read("a1", listOf(first, second))
            assertEquals(listOf("SP5003", "SP5004", "SP5006"), trace.lines.map { it.split(' ')[2] })
        }

        @Test
        fun `concludes with the final status and the failed attempts`() {
            val trace = RequestTrace.read("e1-1", listOf(first, second))
            val expected = "Ended with status 502: X. Failed attempts: garbled at u1@1 after 7 ms."
            assertEquals(expected, trace.conclusion)
        }

        @Test
        fun `is empty for an id that no line contains`() {
            assertTrue(RequestTrace.read("a9", listOf(first, second)).lines.isEmpty())
        }
    }

    private fun line(time: String, request: String, event: String, rest: String) =
        "{\"time\":\"$time\",\"instance\":\"e1\",\"event\":\"$event\",\"message\":\"m\"," +
            "\"request\":\"$request\",$rest}"

    private fun log(vararg lines: String) = object : LogSource {
        override fun <T> useLines(block: (Sequence<String>) -> T): T = block(lines.asSequence())
    }
}
