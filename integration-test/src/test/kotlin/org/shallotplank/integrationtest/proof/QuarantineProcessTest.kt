package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.shallotplank.integrationtest.EngineSettings
import org.shallotplank.integrationtest.LoadReport
import org.shallotplank.integrationtest.UpstreamFaults
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.proof.StreamOutcome.Refused
import org.shallotplank.integrationtest.proof.StreamOutcome.Whole

/** A request that crashes engines is quarantined after at most two crashes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class QuarantineProcessTest {
    private val system = ProofSystem(
        "QuarantineProcessTest",
        entries = 3,
        engines = 4,
        engine = UpstreamKind.Engine(EngineSettings(startWarm = true))
    )

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    private suspend fun crashes(): Long = system.upstreams.sumOf {
        system.caller.get<LoadReport>("${it.server.url}/load").incarnation - 1
    }

    @Test
    fun `all entries refuse its repeats and other requests complete`(): Unit = runBlocking {
        system.upstreams.forEach { system.inject(it, UpstreamFaults(crashOn = POISON)) }
        val others = async { List(OTHERS) { system.quote("harmless $it", it % 3) } }
        val outcomes = List(REPEATS) { system.quote(POISON, it % 3) }
        val last = outcomes.last()
        assertTrue(last is Refused && last.refusal.code == "quarantined", "$outcomes")
        awaitUntil("the load reports show a crash") { crashes() > 0 }
        assertTrue(crashes() in 1..2, "${crashes()} crashes: $outcomes")
        assertEquals(setOf<StreamOutcome>(Whole), others.await().toSet())
    }

    private companion object {
        const val POISON = "poison"
        const val REPEATS = 9
        const val OTHERS = 9
    }
}
