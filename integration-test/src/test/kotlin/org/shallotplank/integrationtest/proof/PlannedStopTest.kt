package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.shallotplank.integrationtest.EngineSettings
import org.shallotplank.integrationtest.cluster.EntryNode
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.harness.ManagedProcess
import org.shallotplank.runtime.admin.ProcessStatus

/** A planned stop is a graceful shutdown and cuts off no request in flight. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlannedStopTest {
    private val system = ProofSystem(
        "PlannedStopTest",
        engines = 2,
        engine = UpstreamKind.Engine(EngineSettings(startWarm = true, baseStep = STEP))
    )

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    private suspend fun EntryNode.knowsAllAgents(): Boolean {
        val status = system.caller.get<ProcessStatus>("${process.adminUrl}/status")
        return status.upstreams.count { it.connected } == system.upstreams.size
    }

    private fun proveStop(name: String, process: () -> ManagedProcess): Unit = runBlocking {
        awaitUntil("all entries reach all agents") { system.entries.all { it.knowsAllAgents() } }
        val before = system.upstreams.map { system.executions(it).started }
        val streams = async { system.quotes(STREAMS, name) }
        awaitUntil("all streams have started") {
            system.startedAt(system.upstreams) == before.sum() + STREAMS
        }
        delay(STREAM_RUN_TIME)
        process().terminate()
        assertEquals(setOf<StreamOutcome>(StreamOutcome.Whole), streams.await().toSet())
        assertEquals(0, process().awaitExit())
    }

    @Test
    fun `of an agent completes its in-flight streams`() {
        proveStop("agent") { system.upstreams[0].process }
        runBlocking { system.upstreams[0].start().awaitReady() }
    }

    @Test
    fun `of an entry completes its in-flight streams`() {
        proveStop("entry") { system.entries[0].process }
        runBlocking { system.entries[0].start().awaitReady() }
    }

    private companion object {
        /** Number of requests that two cold engines receive at once. */
        const val STREAMS = 4
        val STEP = 30.milliseconds
        val STREAM_RUN_TIME = 200.milliseconds
    }
}
