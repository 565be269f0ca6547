package org.shallotplank.integrationtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested

class EngineStandInTest {
    private val engine = engine()
    private val caller = HttpCaller()

    @AfterTest
    fun close() {
        engine.close()
    }

    private fun engine(checksFencing: Boolean = true) = EngineStandIn(
        settings = EngineSettings(loadLag = Duration.ZERO, checksFencing = checksFencing)
    )

    private fun body(prompt: String, maxTokens: Int = 8): String =
        standInJson.encodeToString(GenerationRequest(prompt, maxTokens))

    private suspend fun stream(
        prompt: String,
        maxTokens: Int = 8,
        headers: Map<String, String> = emptyMap()
    ): List<ServerSentEvent> =
        caller.events("${engine.url}/v1/quotes", body(prompt, maxTokens), headers).toList()

    private suspend fun inject(faults: UpstreamFaults) {
        caller.send("POST", "${engine.url}/faults", faults)
    }

    private suspend fun executions(): ExecutionReport =
        caller.get<ExecutionReport>("${engine.url}/executions")

    @Nested
    inner class Streams {
        @Test
        fun `are equal for equal prompts and end with the number of tokens`(): Unit = runBlocking {
            val first = stream("kerb stones")
            assertEquals((1..8).toList() + null, first.map { it.id })
            assertEquals("end", first.last().name)
            assertEquals("""{"tokens":8}""", first.last().data)
            assertEquals(first, stream("kerb stones"))
        }

        @Test
        fun `resume after Last-Event-ID without missing or repeated tokens`(): Unit = runBlocking {
            val whole = stream("kerb stones")
            val rest = stream("kerb stones", headers = mapOf("Last-Event-ID" to "5"))
            assertEquals(whole.drop(5), rest)
        }

        @Test
        fun `fail at the caller when the engine cuts them off`(): Unit = runBlocking {
            val seen = mutableListOf<ServerSentEvent>()
            inject(UpstreamFaults(cutAfterTokens = 3))
            val url = "${engine.url}/v1/quotes"
            assertFails { caller.events(url, body("kerb")).onEach { seen += it }.toList() }
            assertEquals(listOf(1, 2, 3), seen.map { it.id })
        }

        @Test
        fun `are cancelled when the caller disconnects`(): Unit = runBlocking {
            inject(UpstreamFaults(stallMillis = 200))
            caller.events("${engine.url}/v1/quotes", body("kerb", maxTokens = 160)).first()
            withTimeout(20.seconds) {
                while (executions().cancelled == 0) delay(5.milliseconds)
            }
        }

        @Test
        fun `are counted by request id`(): Unit = runBlocking {
            stream("kerb", headers = mapOf("X-Request-Id" to "r-1"))
            assertEquals(mapOf("r-1" to 1), executions().byRequest)
        }
    }

    @Nested
    inner class Crashes {
        @Test
        fun `cut off the stream of a prompt that crashes the engine`(): Unit = runBlocking {
            inject(UpstreamFaults(crashOn = "poison"))
            assertFails { stream("poison") }
            val load = caller.get<LoadReport>("${engine.url}/load")
            assertEquals(2, load.incarnation)
        }

        @Test
        fun `answer 500 to the call above the cold limit`(): Unit = runBlocking {
            inject(UpstreamFaults(stallMillis = 60_000))
            val url = "${engine.url}/v1/quotes"
            val overload = EngineOverload(caller, url, body("kerb"))
            assertEquals(500, overload.callAboveLimit(EngineSettings().coldConcurrency))
        }
    }

    @Nested
    inner class Orders {
        private suspend fun order(engine: EngineStandIn, fencing: Long): HttpReply =
            caller.send("POST", "${engine.url}/orders", Order(fencing, "LOAD_MODEL", "kerb-2"))

        @Test
        fun `with an old fencing number are refused`(): Unit = runBlocking {
            assertEquals(200, order(engine, 5).status)
            val refusal = order(engine, 4)
            assertEquals(409, refusal.status)
            assertEquals(StaleOrder(5), refusal.json())
        }

        @Test
        fun `are all executed by an engine that ignores fencing`(): Unit = runBlocking {
            engine(checksFencing = false).use { careless ->
                listOf(5L, 4L).forEach { assertEquals(200, order(careless, it).status) }
                val log = caller.get<OrderLog>("${careless.url}/orders")
                assertEquals(listOf(5L, 4L), log.orders.map { it.fencing })
            }
        }
    }

    @Nested
    inner class Ranks {
        @Test
        fun `use an armed expert map from the step for which it was armed`(): Unit = runBlocking {
            suspend fun call(verb: String, step: Long): HttpReply = caller.send(
                "POST",
                "${engine.url}/rank/$verb",
                RankRequest(incarnation = 1, mapVersion = 7, step = step)
            )
            listOf("stage" to 0L, "arm" to 2L, "step" to 1L, "step" to 2L).forEach { (verb, step) ->
                assertEquals(200, call(verb, step).status)
            }
            val steps = caller.get<RankSteps>("${engine.url}/rank/steps").steps
            assertEquals(listOf(RankStep(1, 1, 0), RankStep(1, 2, 7)), steps)
        }
    }
}
