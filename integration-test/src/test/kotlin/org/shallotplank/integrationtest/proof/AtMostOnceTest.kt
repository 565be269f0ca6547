package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.shallotplank.integrationtest.PlainServiceSettings
import org.shallotplank.integrationtest.PlatformFaults
import org.shallotplank.integrationtest.UpstreamFaults
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.cluster.UpstreamNode
import org.shallotplank.integrationtest.proof.CallOutcome.Answered
import org.shallotplank.integrationtest.proof.CallOutcome.Refused
import org.shallotplank.integrationtest.proxy.Direction
import org.shallotplank.integrationtest.proxy.ProxyFault

/**
 * A request for a non-idempotent operation is executed at most once across repeats, killed or
 * suspended processes, broken connections and table outages.
 *
 * No caller receives `not-run` for a request that was executed.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceTest {
    private val system = ProofSystem(
        "AtMostOnceTest",
        plainServices = 2,
        plainService = UpstreamKind.Plain(PlainServiceSettings(startWarm = true))
    )

    @BeforeAll
    fun start(): Unit = runBlocking {
        system.edit("order-app/service.toml", "deadline_seconds = 20", "deadline_seconds = 4")
        system.start()
    }

    @AfterAll
    fun close(): Unit = system.close()

    @BeforeEach
    fun slowDown(): Unit = runBlocking { answerAfter(ANSWER_MILLIS) }

    @AfterEach
    fun heal(): Unit = runBlocking {
        answerAfter(millis = 0)
        system.cluster.platform.inject(PlatformFaults(outage = false, loseAnswers = 0))
        system.upstreams.forEach { upstream ->
            listOf(upstream.agentLink, upstream.platformLink, upstream.upstreamLink)
                .forEach { it.heal() }
            if (!upstream.process.isAlive) upstream.start()
        }
        system.entries.forEach { if (!it.process.isAlive) it.start() }
        (system.entries.map { it.process } + system.upstreams.map { it.process })
            .forEach { it.awaitReady() }
        system.entries.indices.forEach { entry ->
            awaitUntil("entry $entry answers lookups again") { system.lookUp(entry) is Answered }
        }
    }

    private suspend fun answerAfter(millis: Long): Unit =
        system.upstreams.forEach { system.inject(it, UpstreamFaults(answerMillis = millis)) }

    private fun CoroutineScope.bookAsync(key: String, entry: Int): Deferred<CallOutcome> =
        async { system.book(key, entry) }

    /** Waits until a request with [key] has started and returns the upstream that runs it. */
    private suspend fun awaitRunning(key: String): UpstreamNode {
        awaitUntil("a request with key $key has started") { system.executionsOf(key) > 0 }
        return system.upstreams.first { key in system.executions(it).byIdempotencyKey }
    }

    /**
     * Checks [outcomes] against the number of executions of [key], then does the same with a
     * repeat of the request to each entry.
     */
    private suspend fun verify(key: String, outcomes: List<CallOutcome>) {
        assertTruthful(key, outcomes)
        system.entries.indices.forEach { assertTruthful(key, listOf(system.book(key, it))) }
    }

    private suspend fun assertTruthful(key: String, outcomes: List<CallOutcome>) {
        val executions = system.executionsOf(key)
        assertTrue(executions <= 1, "$key was executed $executions times: $outcomes")
        val isDenied = outcomes.any { it is Refused && it.type == "not-run" }
        assertFalse(executions == 1 && isDenied, "$key was executed despite not-run: $outcomes")
    }

    @Nested
    inner class Repeats {
        @Test
        fun `to several entries at once run once and get the same answer`(): Unit = runBlocking {
            val key = "repeats"
            val outcomes = List(REPEATS) { bookAsync(key, it % 2) }.awaitAll()
            verify(key, outcomes)
            assertEquals(1, system.executionsOf(key))
            assertEquals(1, outcomes.filterIsInstance<Answered>().map { it.body }.distinct().size)
        }

        @Test
        fun `with a different body are refused`(): Unit = runBlocking {
            val key = "other-body"
            assertIs<Answered>(system.book(key))
            val refusal = system.book(key, entry = 1, body = """{"pour":"another"}""")
            assertEquals("key-reused", assertIs<Refused>(refusal).code)
            assertEquals(1, system.executionsOf(key))
        }
    }

    @Nested
    inner class LostProcesses {
        @Test
        fun `agent is killed while it runs a booking`(): Unit = runBlocking {
            val key = "agent-killed"
            val first = bookAsync(key, entry = 0)
            awaitRunning(key).process.kill()
            verify(key, listOf(first.await()))
        }

        @Test
        fun `entry is killed while a booking runs`(): Unit = runBlocking {
            val key = "entry-killed"
            val first = bookAsync(key, entry = 0)
            awaitRunning(key)
            system.entries[0].process.kill()
            val repeat = system.book(key, entry = 1)
            assertEquals(1, system.executionsOf(key))
            assertFalse(repeat is Refused && repeat.type == "not-run", "$repeat")
            assertEquals(CallOutcome.Cut, first.await())
        }
    }

    @Nested
    inner class CutLinks {
        private fun proveUnder(key: String, fault: ProxyFault): Unit = runBlocking {
            val first = bookAsync(key, entry = 0)
            awaitRunning(key).agentLink.inject(fault)
            verify(key, listOf(first.await()))
        }

        @Test
        fun `connection between entry and agent is reset`(): Unit =
            proveUnder("reset", ProxyFault.ResetConnections)

        @Test
        fun `only bytes from agent to entry are dropped`(): Unit =
            proveUnder("one-way", ProxyFault.DropBytes(Direction.TO_CALLER))

        @Test
        fun `only bytes from entry to agent are dropped`(): Unit =
            proveUnder("other-way", ProxyFault.DropBytes(Direction.TO_TARGET))

        @Test
        fun `connection between entry and agent goes silent for good`(): Unit =
            proveUnder("silent", ProxyFault.SilenceConnections)

        @Test
        fun `connection between agent and upstream is reset`(): Unit = runBlocking {
            val key = "upstream-link"
            val first = bookAsync(key, entry = 0)
            awaitRunning(key).upstreamLink.inject(ProxyFault.ResetConnections)
            verify(key, listOf(first.await()))
        }
    }

    @Nested
    inner class TableFaults {
        @Test
        fun `answer to a table write that took effect is lost`(): Unit = runBlocking {
            val key = "lost-answer"
            system.cluster.platform.inject(PlatformFaults(loseAnswers = 1))
            assertIs<Answered>(system.book(key))
            verify(key, emptyList())
            assertEquals(1, system.executionsOf(key))
        }

        @Test
        fun `outage refuses bookings at once and lookups continue`(): Unit = runBlocking {
            val key = "outage"
            system.cluster.platform.inject(PlatformFaults(outage = true))
            val start = TimeSource.Monotonic.markNow()
            val refusal = assertIs<Refused>(system.book(key))
            assertEquals("table-unavailable", refusal.code)
            assertTrue(start.elapsedNow() < A_FEW_SECONDS)
            assertEquals(0, system.executionsOf(key))
            repeat(LOOKUPS) { assertIs<Answered>(system.lookUp(it % 2)) }
            system.cluster.platform.inject(PlatformFaults(outage = false))
            awaitUntil("$key is answered after the outage") { system.book(key) is Answered }
            assertEquals(1, system.executionsOf(key))
        }
    }

    @Nested
    inner class PausedAgents {
        @Test
        fun `do not run a refused booking after they resume`(): Unit = runBlocking {
            val key = "paused-before"
            system.upstreams.forEach { it.process.pause() }
            val first = system.book(key)
            val repeat = bookAsync(key, entry = 1)
            delay(1.seconds)
            system.upstreams.forEach { it.process.resume() }
            val outcomes = listOf(first, repeat.await())
            delay(SETTLING)
            verify(key, outcomes)
        }

        @Test
        fun `run a booking once if suspended while it runs`(): Unit = runBlocking {
            val key = "paused-during"
            val first = bookAsync(key, entry = 0)
            val process = awaitRunning(key).process
            process.pause()
            val outcomes = listOf(first.await(), system.book(key, entry = 1))
            process.resume()
            delay(SETTLING)
            verify(key, outcomes)
        }
    }

    private companion object {
        const val ANSWER_MILLIS = 700L
        const val REPEATS = 6
        const val LOOKUPS = 10
        val SETTLING = 1.seconds
    }
}
