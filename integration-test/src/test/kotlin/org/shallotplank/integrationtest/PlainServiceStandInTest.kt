package org.shallotplank.integrationtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

class PlainServiceStandInTest {
    private var crashes = 0
    private val service = PlainServiceStandIn(onCrash = { crashes++ })
    private val caller = HttpCaller()

    @AfterTest
    fun close() {
        service.close()
    }

    private suspend fun book(body: String, headers: Map<String, String> = emptyMap()): HttpReply =
        caller.call("POST", "${service.url}/v1/bookings", body, headers)

    private suspend fun inject(faults: UpstreamFaults) {
        caller.send("POST", "${service.url}/faults", faults)
    }

    private suspend fun executions(): ExecutionReport =
        caller.get<ExecutionReport>("${service.url}/executions")

    @Nested
    inner class Executions {
        @Test
        fun `are counted by request id and idempotency key`(): Unit = runBlocking {
            book("pour", mapOf("X-Request-Id" to "r-1", "Idempotency-Key" to "k"))
            val second = book("pour", mapOf("X-Request-Id" to "r-2", "Idempotency-Key" to "k"))
            assertEquals(ExecutionAnswer(2, sha256("pour".encodeToByteArray())), second.json())
            assertEquals(mapOf("r-1" to 1, "r-2" to 1), executions().byRequest)
            assertEquals(mapOf("k" to 2), executions().byIdempotencyKey)
        }

        @Test
        fun `are not counted for lookups`(): Unit = runBlocking {
            assertEquals(200, caller.call("GET", "${service.url}/v1/bookings/1").status)
            assertEquals(0, executions().started)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `drop an answer after the execution`(): Unit = runBlocking {
            inject(UpstreamFaults(loseAnswers = 1))
            assertFails { book("pour") }
            assertEquals(1, executions().finished)
        }

        @Test
        fun `crash the service on a matching body`(): Unit = runBlocking {
            inject(UpstreamFaults(crashOn = "poison"))
            assertFails { book("poison") }
            assertEquals(1, crashes)
            assertEquals(2, caller.get<LoadReport>("${service.url}/load").incarnation)
        }
    }
}
