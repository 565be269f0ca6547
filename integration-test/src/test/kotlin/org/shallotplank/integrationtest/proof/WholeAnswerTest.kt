package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.shallotplank.integrationtest.EngineSettings
import org.shallotplank.integrationtest.ExecutionAnswer
import org.shallotplank.integrationtest.UpstreamFaults
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.proof.CallOutcome.Answered
import org.shallotplank.integrationtest.proxy.FaultProxy
import org.shallotplank.integrationtest.proxy.ProxyFault
import org.shallotplank.integrationtest.standInJson

/**
 * A caller receives the complete answer to its own request or sees the request fail.
 *
 * It never takes a truncated answer for complete or receives the answer to another request.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholeAnswerTest {
    private val system = ProofSystem(
        "WholeAnswerTest",
        engines = 3,
        engine = UpstreamKind.Engine(EngineSettings(startWarm = true)),
        plainServices = 1
    )
    private val engines = system.upstreams.filter { it.settings.service.value == "draft-model" }
    private var prompts = 0
    private val plain = system.upstreams - engines.toSet()

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    @AfterEach
    fun heal(): Unit = runBlocking {
        val ended = system.upstreams.filterNot { it.process.isAlive }.map { it.start() }
        val endedEntries = system.entries.filterNot { it.process.isAlive }.map { it.start() }
        (ended + endedEntries).forEach { it.awaitReady() }
        system.upstreams.forEach { it.upstreamLink.heal() }
        system.entries.indices.forEach { entry ->
            awaitUntil("entry $entry completes a stream again") {
                system.quote("after ${prompts++}", entry) == StreamOutcome.Whole
            }
        }
    }

    private fun proveUnder(name: String, causeFault: suspend () -> Unit): Unit = runBlocking {
        val outcomes = async { system.quotes(STREAMS, name) }
        awaitUntil("all engines run streams") { engines.all { system.executions(it).started > 0 } }
        delay(STREAM_RUN_TIME)
        causeFault()
        val seen = outcomes.await()
        assertEquals(emptyList(), seen.filterIsInstance<StreamOutcome.Wrong>(), "$seen")
        assertTrue(StreamOutcome.Whole in seen, "$seen")
    }

    @Nested
    inner class Streams {
        private fun proveOn(links: List<FaultProxy>, fault: ProxyFault): Unit =
            proveUnder("$fault of ${links.size}") { links.forEach { it.inject(fault) } }

        @Test
        fun `whose connection between entry and agent is reset`(): Unit =
            proveOn(engines.take(2).map { it.agentLink }, ProxyFault.ResetConnections)

        @Test
        fun `whose connection between agent and engine is closed`(): Unit =
            proveOn(engines.take(2).map { it.upstreamLink }, ProxyFault.CloseConnections)

        @Test
        fun `whose connections go silent for good`(): Unit = proveOn(
            listOf(engines[0].agentLink, engines[1].upstreamLink),
            ProxyFault.SilenceConnections
        )

        @Test
        fun `that an engine cuts off`(): Unit = proveUnder("cut") {
            repeat(CUTS) { count ->
                engines.forEach { system.inject(it, UpstreamFaults(cutAfterTokens = count)) }
                system.quotes(engines.size, "cut early $count")
            }
        }

        @Test
        fun `whose agent is killed`(): Unit = proveUnder("killed") { engines[0].process.kill() }

        @Test
        fun `whose entry is killed`(): Unit =
            proveUnder("entry") { system.entries[0].process.kill() }
    }

    @Nested
    inner class PlainAnswers {
        @Test
        fun `cut off by a closed connection are not taken for complete`(): Unit = runBlocking {
            val link = plain.single().upstreamLink
            link.inject(ProxyFault.Throttle(chunkBytes = 4, pause = 10.milliseconds))
            val outcomes = List(LOOKUPS) { async { system.lookUp(it % 2) } }
            repeat(CUTS) {
                delay(CUT_INTERVAL)
                link.inject(ProxyFault.CloseConnections)
            }
            outcomes.map { it.await() }.assertAnsweredWhole()
        }

        @Test
        fun `cut off between two chunks are not taken for complete`(): Unit = runBlocking {
            system.inject(plain.single(), UpstreamFaults(cutAnswers = 1))
            List(LOOKUPS) { system.lookUp(it % 2) }.assertAnsweredWhole()
        }

        private fun List<CallOutcome>.assertAnsweredWhole(): Unit =
            filterIsInstance<Answered>().forEach {
                standInJson.decodeFromString<ExecutionAnswer>(it.body)
            }
    }

    private companion object {
        const val STREAMS = 24
        const val CUTS = 4
        const val LOOKUPS = 8
        val STREAM_RUN_TIME = 200.milliseconds
        val CUT_INTERVAL = 150.milliseconds
    }
}
