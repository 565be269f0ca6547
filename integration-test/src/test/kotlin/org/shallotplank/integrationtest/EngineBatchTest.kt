package org.shallotplank.integrationtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.config.Priority

class EngineBatchTest {
    private val clock = TestTimeSource()
    private val executions = ExecutionCounter()
    private var crashes = 0

    private fun batch(settings: EngineSettings): EngineBatch =
        EngineBatch(settings, executions, 1, { crashes++ }, clock)

    private fun warmBatch(maxBatch: Int = 16): EngineBatch = batch(
        EngineSettings(maxBatch = maxBatch, startWarm = true, loadLag = Duration.ZERO)
    )

    private fun EngineBatch.submit(
        prompt: String,
        maxTokens: Int = 3,
        priority: Priority = Priority.INTERACTIVE,
        skipTokens: Int = 0
    ): GeneratedStream? = submit(
        GenerationRequest(prompt, maxTokens),
        CallerRequest(prompt, null),
        priority.ordinal,
        skipTokens
    )

    private fun EngineBatch.step(): Duration = beginStep().also { finishStep() }

    private fun GeneratedStream.numbers(): List<Int> = runBlocking {
        buildList { collect { add(it.number) } }
    }

    @Nested
    inner class Steps {
        @Test
        fun `take longer in a larger batch`() {
            val batch = warmBatch()
            batch.submit("a")
            assertEquals(11.milliseconds, batch.step())
            batch.submit("b")
            batch.submit("c")
            assertEquals(13.milliseconds, batch.step())
        }

        @Test
        fun `include an injected stall once`() {
            val batch = warmBatch()
            batch.submit("a")
            batch.inject(UpstreamFaults(stallMillis = 500))
            assertEquals(511.milliseconds, batch.step())
            assertEquals(11.milliseconds, batch.step())
        }

        @Test
        fun `skip the prefill of a cached prefix`() {
            val batch = warmBatch()
            val prompt = "x".repeat(10 * PrefixCache.BLOCK_CHARS)
            batch.submit(prompt, maxTokens = 1)
            assertEquals(27.milliseconds, batch.step())
            batch.submit(prompt, maxTokens = 1)
            assertEquals(11.milliseconds, batch.step())
            val lastPrefix = PrefixCache.prefixHashes(prompt).last()
            assertTrue(lastPrefix in batch.loadReport().cachedPrefixes)
        }
    }

    @Nested
    inner class Sequences {
        @Test
        fun `join a running batch when others complete`() {
            val batch = warmBatch(maxBatch = 2)
            batch.submit("a", maxTokens = 1)
            batch.submit("b")
            batch.submit("c")
            batch.step()
            assertEquals(1, batch.loadReport().queued)
            batch.step()
            assertEquals(0, batch.loadReport().queued)
        }

        @Test
        fun `are admitted by priority and then by arrival`() {
            val batch = warmBatch(maxBatch = 1)
            batch.submit("late", maxTokens = 1, priority = Priority.BACKGROUND)
            batch.submit("second", maxTokens = 1, priority = Priority.ORDER)
            batch.submit("third", maxTokens = 1, priority = Priority.ORDER)
            batch.step()
            assertEquals(setOf("second"), executions.report().byRequest.keys)
            batch.step()
            assertEquals(setOf("second", "third"), executions.report().byRequest.keys)
        }

        @Test
        fun `resume after the last event that the caller has`() {
            val batch = warmBatch()
            val stream = assertNotNull(batch.submit("a", maxTokens = 4, skipTokens = 2))
            repeat(4) { batch.step() }
            assertEquals(listOf(3, 4), stream.numbers())
        }

        @Test
        fun `leave the batch when cancelled`() {
            val batch = warmBatch()
            val stream = assertNotNull(batch.submit("a"))
            batch.step()
            stream.cancel()
            batch.step()
            assertEquals(1, executions.report().cancelled)
            assertEquals(0, batch.loadReport().running)
        }

        @Test
        fun `are cut off after the given token once per injected fault`() {
            val batch = warmBatch()
            batch.inject(UpstreamFaults(cutAfterTokens = 2))
            val cut = assertNotNull(batch.submit("a"))
            val whole = assertNotNull(batch.submit("a"))
            repeat(4) { batch.step() }
            assertFailsWith<StreamCutException> { cut.numbers() }
            assertEquals(listOf(1, 2, 3), whole.numbers())
        }
    }

    @Nested
    inner class ColdEngines {
        private val settings = EngineSettings(
            maxBatch = 8,
            coldConcurrency = 2,
            warmAfterTokens = 12,
            loadLag = Duration.ZERO
        )

        @Test
        fun `crash above their limit and restart with a new incarnation`() {
            val batch = batch(settings)
            val streams = listOf("a", "b").map { assertNotNull(batch.submit(it)) }
            assertNull(batch.submit("c"))
            streams.forEach { assertFailsWith<EngineCrashedException> { it.numbers() } }
            assertEquals(2, batch.loadReport().incarnation)
            assertEquals(1, crashes)
        }

        @Test
        fun `accept more sequences as they generate tokens and any number once warm`() {
            val batch = batch(settings)
            repeat(2) { batch.submit("a$it", maxTokens = 6) }
            repeat(3) { batch.step() }
            repeat(3) { assertNotNull(batch.submit("b$it", maxTokens = 6)) }
            repeat(3) { batch.step() }
            assertEquals(false, batch.loadReport().cold)
            repeat(20) { assertNotNull(batch.submit("c$it")) }
        }

        @Test
        fun `keep their incarnation when they turn cold again`() {
            val batch = warmBatch()
            batch.inject(UpstreamFaults(cold = true))
            assertEquals(true, batch.loadReport().cold)
            assertEquals(1, batch.loadReport().incarnation)
            repeat(2) { assertNotNull(batch.submit("a$it")) }
            assertNull(batch.submit("b"))
        }
    }

    @Nested
    inner class PoisonPrompts {
        @Test
        fun `crash the engine when they start to run`() {
            val batch = warmBatch()
            batch.inject(UpstreamFaults(crashOn = "poison"))
            val bystander = assertNotNull(batch.submit("a"))
            val poison = assertNotNull(batch.submit("some poison"))
            batch.step()
            listOf(bystander, poison).forEach {
                assertFailsWith<EngineCrashedException> { it.numbers() }
            }
            assertEquals(2, batch.loadReport().incarnation)
        }
    }

    @Nested
    inner class LoadReports {
        @Test
        fun `show the load with the configured lag`() {
            val batch = batch(EngineSettings(loadLag = 1.seconds))
            clock += 5.seconds
            batch.submit("a")
            assertEquals(0, batch.loadReport().queued)
            clock += 1.seconds
            assertEquals(1, batch.loadReport().queued)
        }
    }
}
