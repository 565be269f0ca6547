package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.shallotplank.integrationtest.LoadReport
import org.shallotplank.integrationtest.UpstreamFaults

/** Entries send a cold upstream no more requests than its capacity, so it does not crash. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ColdStartProcessTest {
    private val system = ProofSystem("ColdStartProcessTest", entries = 4, engines = 2)

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    private suspend fun loads(): List<LoadReport> =
        system.upstreams.map { system.caller.get("${it.server.url}/load") }

    /**
     * Sends more requests than cold engines have capacity for, through all entries at once, and
     * checks that no engine crashed.
     */
    private suspend fun assertSurvivesBurst(name: String) {
        val outcomes = system.quotes(BURST, name)
        assertTrue(StreamOutcome.Whole in outcomes, "$outcomes")
        delay(LOAD_LAG)
        assertEquals(listOf(1L, 1L), loads().map { it.incarnation }, "crashes after $outcomes")
    }

    @Test
    fun `engines survive bursts after a start and when cold again`(): Unit = runBlocking {
        assertSurvivesBurst("cold")
        awaitUntil("the engines are warm") {
            system.quotes(BURST, "warming")
            loads().none { it.cold }
        }
        system.upstreams.forEach { system.inject(it, UpstreamFaults(cold = true)) }
        delay(LOAD_LAG)
        assertSurvivesBurst("cold again")
    }

    private companion object {
        const val BURST = 24

        /** Time in which a delayed load report of the engine reaches the agent. */
        val LOAD_LAG = 2.seconds
    }
}
