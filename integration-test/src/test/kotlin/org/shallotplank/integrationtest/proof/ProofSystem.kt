package org.shallotplank.integrationtest.proof

import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.copyToRecursively
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.ServiceName
import org.shallotplank.integrationtest.ExecutionReport
import org.shallotplank.integrationtest.GenerationRequest
import org.shallotplank.integrationtest.HttpCaller
import org.shallotplank.integrationtest.UpstreamFaults
import org.shallotplank.integrationtest.cluster.ClusterLayout
import org.shallotplank.integrationtest.cluster.EntryNode
import org.shallotplank.integrationtest.cluster.LoopbackCluster
import org.shallotplank.integrationtest.cluster.ServiceLayout
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.cluster.UpstreamNode
import org.shallotplank.integrationtest.harness.CommandResult
import org.shallotplank.integrationtest.standInJson
import org.shallotplank.runtime.admin.ProcessStatus

/** Time after which a zone out of service or a leaving upstream gets no new requests. */
internal val A_FEW_SECONDS: Duration = 5.seconds

/** Time in which an accepted configuration is in force at every entry and agent. */
internal val IN_FORCE_TIME: Duration = 8.seconds

/** A [LoopbackCluster] that runs an editable copy of the configuration in `examples/klipstein`. */
internal class ProofSystem(
    testName: String,
    entries: Int = 2,
    engines: Int = 0,
    engine: UpstreamKind.Engine = UpstreamKind.Engine(),
    plainServices: Int = 0,
    plainService: UpstreamKind.Plain = UpstreamKind.Plain()
) : AutoCloseable {
    val cluster = LoopbackCluster(
        testName,
        ClusterLayout(
            entries = entries,
            services = persistentListOf(
                ServiceLayout(ServiceName("draft-model"), engine, engines),
                ServiceLayout(ServiceName("order-app"), plainService, plainServices)
            )
        )
    )
    val entries: List<EntryNode> get() = cluster.entries
    val upstreams: List<UpstreamNode> get() = cluster.upstreams
    val caller = HttpCaller(timeout = 60.seconds)

    /** The directory that [publish] publishes. */
    val directory: Path = cluster.harness.directory.resolve("published")

    init {
        copyExample(directory)
    }

    override fun close(): Unit = cluster.close()

    /** Publishes the configuration and starts all processes. */
    suspend fun start() {
        assertEquals(0, publish().exitStatus)
        cluster.startAll()
    }

    /** Replaces the first [old] after the first [from] by [new] in the published [file]. */
    fun edit(file: String, old: String, new: String, from: String = "") {
        val path = directory.resolve(file)
        val text = path.readText()
        val start = text.indexOf(from)
        check(start >= 0 && old in text.substring(start)) { "no $old in $file" }
        path.writeText(text.substring(0, start) + text.substring(start).replaceFirst(old, new))
    }

    /** Sets whether [zone] is in service, in the published files. */
    fun editZone(zone: String, isInService: Boolean): Unit =
        edit("zones.toml", "in_service = ${!isInService}", "in_service = $isInService", zone)

    /** Publishes [source] and waits until all entries of [waitFor] use it. */
    fun publish(waitFor: List<EntryNode> = emptyList(), source: Path = directory): CommandResult {
        val waits = waitFor.flatMap { listOf("--wait", "${it.settings.adminAddress}") }
        val arguments =
            listOf("publish", "--platform", "${cluster.platform.address}") + waits + "$source"
        return cluster.harness.run(*arguments.toTypedArray())
    }

    /** Version of the configuration that the process at [adminUrl] uses. */
    suspend fun versionAt(adminUrl: String): ConfigurationVersion =
        caller.get<ProcessStatus>("$adminUrl/status").configurationVersion

    /** Sends the order app a booking, a non-idempotent operation, with idempotency key [key]. */
    suspend fun book(
        key: String,
        entry: Int = 0,
        body: String = """{"pour":"$key"}"""
    ): CallOutcome = outcomeOf {
        val headers = authorization + ("Idempotency-Key" to key)
        caller.call("POST", url(entry, "order-app", "/bookings"), body, headers)
    }

    /** Looks up a booking, an idempotent operation. */
    suspend fun lookUp(entry: Int = 0): CallOutcome = outcomeOf {
        caller.call("GET", url(entry, "order-app", "/bookings/1"), headers = authorization)
    }

    /** Streams a quote and compares the received events with the expected tokens. */
    suspend fun quote(prompt: String, entry: Int = 0, maxTokens: Int = 160): StreamOutcome {
        val body = standInJson.encodeToString(GenerationRequest(prompt, maxTokens))
        return streamOutcome(prompt, maxTokens) {
            caller.open(url(entry, "draft-model", "/quotes"), body, authorization)
        }
    }

    /** Streams [count] quotes with distinct prompts concurrently, round-robin over the entries. */
    suspend fun quotes(count: Int, prompt: String): List<StreamOutcome> = coroutineScope {
        List(count) { async { quote("$prompt $it", it % entries.size) } }.awaitAll()
    }

    /** Like [quotes], but retries each quote that is refused for overload until it is accepted. */
    suspend fun quotesUntilAccepted(count: Int, prompt: String): List<StreamOutcome> =
        coroutineScope {
            List(count) { async { quoteUntilTaken("$prompt $it", it % entries.size) } }.awaitAll()
        }

    private suspend fun quoteUntilTaken(prompt: String, entry: Int): StreamOutcome {
        var outcome = quote(prompt, entry)
        while (outcome is StreamOutcome.Refused && outcome.refusal.isOverload) {
            delay(LOAD_PAUSE)
            outcome = quote(prompt, entry)
        }
        return outcome
    }

    private val CallOutcome.Refused.isOverload: Boolean
        get() = type == "not-run" && code == "overloaded"

    /** Keeps streaming short quotes through all entries while [block] runs. */
    suspend fun underLoad(block: suspend () -> Unit): Unit = coroutineScope {
        val load = List(entries.size * CALLERS_PER_ENTRY) { index ->
            launch {
                while (true) {
                    quote("Kerb stone quote $index", index % entries.size, maxTokens = 4)
                    delay(LOAD_PAUSE)
                }
            }
        }
        block()
        load.forEach { it.cancelAndJoin() }
    }

    /** Number of requests that [upstreams] have started. */
    suspend fun startedAt(upstreams: List<UpstreamNode>): Int =
        upstreams.sumOf { executions(it).started }

    /** Applies [faults] at [upstream]. */
    suspend fun inject(upstream: UpstreamNode, faults: UpstreamFaults) {
        assertEquals(200, caller.send("POST", "${upstream.server.url}/faults", faults).status)
    }

    /** Reads the execution counts of [upstream]. */
    suspend fun executions(upstream: UpstreamNode): ExecutionReport =
        caller.get("${upstream.server.url}/executions")

    /** Number of executions for [key] at all upstreams. */
    suspend fun executionsOf(key: String): Int =
        upstreams.sumOf { executions(it).byIdempotencyKey[key] ?: 0 }

    private fun url(entry: Int, service: String, path: String): String =
        "${entries[entry].url}/services/$service$path"
}

/** Polls [condition] until it holds; after [timeout] fails with [what] in the message. */
internal suspend fun awaitUntil(
    what: String,
    timeout: Duration = 20.seconds,
    condition: suspend () -> Boolean
) {
    val start = TimeSource.Monotonic.markNow()
    while (!condition()) {
        check(start.elapsedNow() < timeout) { "timed out after $timeout waiting until $what" }
        delay(POLL_INTERVAL)
    }
}

@OptIn(ExperimentalPathApi::class)
private fun copyExample(target: Path) {
    target.createDirectories()
    EXAMPLE.copyToRecursively(target, followLinks = false, overwrite = true)
}

private val EXAMPLE: Path = Path.of("..", "examples", "klipstein")
private const val CALLERS_PER_ENTRY = 4
private val LOAD_PAUSE = 20.milliseconds
private val POLL_INTERVAL = 50.milliseconds
private val authorization = mapOf("Authorization" to "Bearer example-token-foremen-windhoek")
