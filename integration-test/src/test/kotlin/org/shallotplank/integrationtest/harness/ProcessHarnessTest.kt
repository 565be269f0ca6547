package org.shallotplank.integrationtest.harness

import kotlin.io.path.Path
import kotlin.io.path.exists
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.integrationtest.CRASH_EXIT_STATUS
import org.shallotplank.integrationtest.GenerationRequest
import org.shallotplank.integrationtest.HttpCaller
import org.shallotplank.integrationtest.UpstreamFaults

class ProcessHarnessTest {
    private val harness = ProcessHarness("ProcessHarnessTest")
    private val caller = HttpCaller()

    @AfterTest
    fun close(): Unit = harness.close()

    private suspend fun readyService(): ManagedProcess =
        harness.startStandIn("plain-service").also { it.awaitReady() }

    @Nested
    inner class Processes {
        @Test
        fun `serve requests once they are ready`(): Unit = runBlocking {
            val service = readyService()
            assertEquals(200, caller.call("GET", "${service.adminUrl}/quotes").status)
            assertTrue("listening on ${service.adminAddress}" in service.log())
        }

        @Test
        fun `answer no request while suspended and continue when resumed`(): Unit = runBlocking {
            val service = readyService()
            service.pause()
            val impatient = HttpCaller(timeout = 300.milliseconds)
            assertFails { impatient.call("GET", "${service.adminUrl}/quotes") }
            service.resume()
            assertEquals(200, caller.call("GET", "${service.adminUrl}/quotes").status)
        }

        @Test
        fun `end when they are killed even if suspended`(): Unit = runBlocking {
            val service = readyService()
            service.pause()
            service.kill()
            assertFalse(service.isAlive)
        }

        @Test
        fun `end on SIGTERM`(): Unit = runBlocking {
            val service = readyService()
            service.terminate()
            assertEquals(SIGTERM_EXIT_STATUS, service.awaitExit())
        }

        @Test
        fun `are all ended when the harness is closed`(): Unit = runBlocking {
            val services = listOf(harness.startStandIn("plain-service"), readyService())
            harness.close()
            services.forEach { assertFalse(it.isAlive) }
        }

        @Test
        fun `have their log reported when they end before they are ready`(): Unit = runBlocking {
            val process = harness.startStandIn("no-such-stand-in")
            val failure = assertFails { process.awaitReady() }
            assertTrue("no-such-stand-in" in failure.message.orEmpty())
        }
    }

    @Nested
    inner class EngineProcesses {
        @Test
        fun `exit on a prompt that crashes the engine`(): Unit = runBlocking {
            val engine = harness.startStandIn("engine", options = listOf("--exit-on-crash"))
            engine.awaitReady()
            val url = engine.adminUrl
            caller.send("POST", "$url/faults", UpstreamFaults(crashOn = "poison"))
            assertFails { caller.send("POST", "$url/v1/quotes", GenerationRequest("poison", 4)) }
            assertEquals(CRASH_EXIT_STATUS, engine.awaitExit())
        }
    }

    @Nested
    inner class Commands {
        @Test
        fun `run the packaged jar to its end`() {
            assertTrue(Path(ProcessHarness.shallotplankJar()).exists())
            assertEquals(0, harness.run("--version").exitStatus)
        }
    }

    private companion object {
        const val SIGTERM_EXIT_STATUS = 143
    }
}
