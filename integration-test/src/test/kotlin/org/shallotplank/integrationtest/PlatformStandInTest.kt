package org.shallotplank.integrationtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.time.Duration.Companion.hours
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.ZoneName

class PlatformStandInTest {
    private val platform = PlatformStandIn()
    private val caller = HttpCaller()

    @AfterTest
    fun close() {
        platform.close()
    }

    private suspend fun put(key: String, expectedVersion: Long, value: String): HttpReply =
        caller.send("PUT", "${platform.url}/table/$key", PutRequest(expectedVersion, value))

    private suspend fun read(key: String): HttpReply =
        caller.call("GET", "${platform.url}/table/$key")

    @Nested
    inner class Rows {
        @Test
        fun `are absent with version 0 before the first write`(): Unit = runBlocking {
            assertEquals(404, read("a/b").status)
            assertEquals(TableItem("a/b", 0), read("a/b").json())
        }

        @Test
        fun `are written only at the expected version`(): Unit = runBlocking {
            assertEquals(PutAnswer("a/b", 1), put("a/b", 0, "x").json())
            val conflict = put("a/b", 0, "y")
            assertEquals(409, conflict.status)
            assertEquals(TableItem("a/b", 1, "x"), conflict.json())
        }

        @Test
        fun `are written together in a transaction`(): Unit = runBlocking {
            val url = "${platform.url}/table"
            val writes = listOf(ConditionalWrite("a", 0, "x"), ConditionalWrite("b", 0, "y"))
            val answer = caller.send("POST", url, TransactionRequest(writes))
            assertEquals(TransactionAnswer(listOf(1, 1)), answer.json())
            val conflict = caller.send("POST", url, TransactionRequest(writes))
            assertEquals(409, conflict.status)
            assertEquals(2, conflict.json<TransactionConflict>().conflicts.size)
        }
    }

    @Nested
    inner class Objects {
        @Test
        fun `are read as they were stored`(): Unit = runBlocking {
            val url = "${platform.url}/objects/weights/1"
            assertEquals(404, caller.call("GET", url).status)
            assertEquals(201, caller.call("PUT", url, "bytes").status)
            assertEquals("bytes", caller.call("GET", url).body)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `refuse every call during an outage`(): Unit = runBlocking {
            caller.send("POST", "${platform.url}/faults", PlatformFaults(outage = true))
            assertEquals(503, put("a", 0, "x").status)
            assertEquals(503, read("a").status)
            caller.send("POST", "${platform.url}/faults", PlatformFaults(outage = false))
            assertEquals(404, read("a").status)
        }

        @Test
        fun `drop the answer to a write that took effect`(): Unit = runBlocking {
            platform.inject(PlatformFaults(loseAnswers = 1))
            assertFails { put("a", 0, "x") }
            assertEquals(TableItem("a", 1, "x"), read("a").json())
            assertEquals(1, caller.get<PlatformStats>("${platform.url}/stats").lostAnswers)
        }
    }

    @Nested
    inner class InstanceLists {
        private val instance = Instance(
            id = InstanceId("entry-1"),
            role = InstanceRole.ENTRY,
            zone = ZoneName("khomas-a"),
            region = "windhoek",
            address = Address("127.0.0.1", 7000)
        )

        private suspend fun listed(): List<Instance> =
            caller.get<InstanceList>("${platform.url}/instances").instances

        @Test
        fun `show changes after the configured lag`(): Unit = runBlocking {
            platform.inject(PlatformFaults(instanceLagMillis = 1.hours.inWholeMilliseconds))
            caller.send("PUT", "${platform.url}/instances/entry-1", instance)
            assertEquals(emptyList(), listed())
            platform.inject(PlatformFaults(instanceLagMillis = 0))
            assertEquals(listOf(instance), listed())
        }

        @Test
        fun `drop a deleted instance`(): Unit = runBlocking {
            caller.send("PUT", "${platform.url}/instances/entry-1", instance)
            caller.call("DELETE", "${platform.url}/instances/entry-1")
            assertEquals(emptyList(), listed())
        }
    }
}
