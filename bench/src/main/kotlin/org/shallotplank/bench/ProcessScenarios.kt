package org.shallotplank.bench

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.bench.processes.HttpLoad
import org.shallotplank.bench.processes.LoadResult
import org.shallotplank.bench.processes.LoopbackProcesses
import org.shallotplank.bench.processes.MeasuredProcess
import org.shallotplank.bench.processes.MeasuredUpstream
import org.shallotplank.bench.processes.processorSeconds
import org.shallotplank.bench.processes.residentMebibytes

/** Scenarios that run real processes on loopback; their figures differ from run to run. */
internal val processScenarios: PersistentList<Scenario> = persistentListOf(
    Scenario(
        "datapath",
        "added latency, requests and tokens a second of entry and agent, and processor time"
    ) { dataPath() },
    Scenario("footprint", "memory and idle processor time of 4 entries and 6 agents") {
        footprint()
    }
)

private fun dataPath(): ScenarioResult = LoopbackProcesses().use { cluster ->
    cluster.publish(publishedFiles)
    val service = cluster.startUpstream("plain-service", "lookup-1", "lookups", ZONES.first())
    val engine = cluster.startUpstream("engine", "draft-1", "drafts", ZONES.first())
    val entry = cluster.startEntry("entry-1", ZONES.first())
    val path = DataPath(entry, service, engine)
    path.warmUp()
    resultOf(path.lowLoad() + path.halfLoad() + path.streams())
}

/** Sends load to the same stand-ins in turn through entry and agent, and directly. */
private class DataPath(
    private val entry: MeasuredProcess,
    private val service: MeasuredUpstream,
    private val engine: MeasuredUpstream
) {
    private val throughUrl = "${entry.url}/services/lookups$LOOKUP_PATH"
    private val directUrl = "${service.url}$LOOKUP_PATH"
    private val throughStreamUrl = "${entry.url}/services/drafts/quotes"
    private val streamBody = """{"prompt":"Quote for kerb stone","max_tokens":$STREAM_TOKENS}"""

    fun warmUp() {
        repeat(WARM_UP_ROUNDS) {
            HttpLoad(directUrl, WORKERS).closedLoop(WARM_UP_REQUESTS)
            HttpLoad(throughUrl, WORKERS).closedLoop(WARM_UP_REQUESTS)
        }
        HttpLoad(throughStreamUrl, STREAMS).closedLoop(STREAM_ROUNDS, streamBody)
    }

    fun lowLoad(): List<Figure> {
        val through = HttpLoad(throughUrl, workers = 1).closedLoop(LOW_LOAD_REQUESTS)
        val direct = HttpLoad(directUrl, workers = 1).closedLoop(LOW_LOAD_REQUESTS)
        return latencyFigures("one request at a time", through, direct)
    }

    fun halfLoad(): List<Figure> {
        val before = processorSeconds()
        val peak = HttpLoad(throughUrl, WORKERS).closedLoop(PEAK_REQUESTS)
        val used = processorSeconds() - before
        val directPeak = HttpLoad(directUrl, WORKERS).closedLoop(PEAK_REQUESTS)
        val peakPerSecond = peak.requestsPerSecond
        val rate = peakPerSecond * HALF_LOAD_SHARE
        val through = HttpLoad(throughUrl, WORKERS).openLoop(rate, HALF_LOAD_SECONDS)
        val direct = HttpLoad(directUrl, WORKERS).openLoop(rate, HALF_LOAD_SECONDS)
        return listOf(
            Figure(OWN_VARIANT, "requests a second, $WORKERS callers", peakPerSecond, "1/s"),
            Figure(
                DIRECT,
                "requests a second, $WORKERS callers",
                directPeak.requestsPerSecond,
                "1/s"
            ),
            Figure(OWN_VARIANT, "failed requests, $WORKERS callers", peak.failures.toDouble(), "1"),
            Figure(
                OWN_VARIANT,
                "processor time a request, entry and agent",
                used / peak.latencies.totalCount * MILLIS_PER_SECOND,
                "ms"
            )
        ) + latencyFigures("at 45% of the peak", through, direct)
    }

    fun streams(): List<Figure> {
        val before = processorSeconds()
        val through = HttpLoad(throughStreamUrl, STREAMS).closedLoop(STREAM_ROUNDS, streamBody)
        val used = processorSeconds() - before
        val direct = HttpLoad("${engine.url}/quotes", STREAMS).closedLoop(STREAM_ROUNDS, streamBody)
        val tokens = through.latencies.totalCount * STREAM_TOKENS
        return listOf(
            Figure(OWN_VARIANT, "streamed tokens a second", tokens / through.seconds, "1/s"),
            Figure(
                DIRECT,
                "streamed tokens a second",
                direct.latencies.totalCount * STREAM_TOKENS / direct.seconds,
                "1/s"
            ),
            Figure(OWN_VARIANT, "failed streams", through.failures.toDouble(), "1"),
            Figure(
                OWN_VARIANT,
                "processor time a token, entry and agent",
                used / tokens * MICROS_PER_SECOND,
                "us"
            )
        )
    }

    private fun processorSeconds(): Double =
        listOf(entry, service.agent, engine.agent).sumOf { processorSeconds(it.pid) }

    private fun latencyFigures(load: String, through: LoadResult, direct: LoadResult) =
        listOf(50.0, 99.0).flatMap { percentile ->
            val name = "p${percentile.toInt()}, $load"
            val added = through.millisAt(percentile) - direct.millisAt(percentile)
            val target = Target.AtMost(ADDED_MILLIS).takeIf { percentile > 50.0 }
            listOf(
                Figure(OWN_VARIANT, name, through.millisAt(percentile), "ms"),
                Figure(DIRECT, name, direct.millisAt(percentile), "ms"),
                Figure(OWN_VARIANT, "added $name", added, "ms", target)
            )
        }
}

private fun footprint(): ScenarioResult = LoopbackProcesses().use { cluster ->
    cluster.publish(publishedFiles)
    val agents = List(6) { index ->
        val kind = if (index < 4) "engine" to "drafts" else "plain-service" to "lookups"
        cluster.startUpstream(kind.first, "upstream-$index", kind.second, ZONES[index % 3]).agent
    }
    val entries = List(4) { cluster.startEntry("entry-$it", ZONES[it % 3]) }
    Thread.sleep(SETTLE_MILLIS)
    resultOf(idleFigures("entry", entries) + idleFigures("agent", agents))
}

private fun idleFigures(role: String, processes: List<MeasuredProcess>): List<Figure> {
    val before = processes.map { processorSeconds(it.pid) }
    Thread.sleep(IDLE_SECONDS * 1000L)
    val shares = processes.mapIndexed { index, process ->
        (processorSeconds(process.pid) - before[index]) / IDLE_SECONDS * PERCENT
    }
    val memory = processes.map { residentMebibytes(it.pid) }
    val memoryTarget = Target.AtMost(MEMORY_MEBIBYTES)
    val processorTarget = Target.AtMost(PROCESSOR_PERCENT)
    return listOf(
        Figure(role, "largest resident memory", memory.max(), "MiB", memoryTarget),
        Figure(role, "mean resident memory", memory.average(), "MiB", memoryTarget),
        Figure(role, "highest idle processor time", shares.max(), "% of a core", processorTarget),
        Figure(role, "mean idle processor time", shares.average(), "% of a core", processorTarget)
    )
}

private val ZONES = listOf("khomas-a", "khomas-b", "khomas-c")

private val publishedFiles = mapOf(
    "zones.toml" to ZONES.joinToString("\n") {
        "[[zones]]\nname = \"$it\"\nregion = \"windhoek\"\nin_service = true\n"
    },
    "customers.toml" to """
        [[customers]]
        name = "bench"
        token_sha256 = "3c48bc0f2e8fa1b39a8fceaa9e7823f36f12e24c3abfe6306152c0c13de2e946"
        weight = 1
        max_concurrency = 96
    """.trimIndent(),
    "lookups.toml" to serviceFile("lookups", "plain", "GET", "/bookings/*", isStreamed = false),
    "drafts.toml" to serviceFile("drafts", "model", "POST", "/quotes", isStreamed = true)
)

private fun serviceFile(
    name: String,
    kind: String,
    method: String,
    path: String,
    isStreamed: Boolean
) = """
    [service]
    name = "$name"
    kind = "$kind"
    checks_fencing = false
    [limits]
    cold_concurrency = 32
    max_concurrency = 32
    max_queued = 32
    [stop]
    drain_timeout_seconds = 30
    resumable = $isStreamed
    [[operations]]
    name = "operation"
    method = "$method"
    path = "$path"
    idempotent = true
    streamed = $isStreamed
    priority = "interactive"
    deadline_seconds = 30
""".trimIndent()

private const val DIRECT = "direct to the stand-in"
private const val LOOKUP_PATH = "/bookings/1"
private const val WORKERS = 16
private const val WARM_UP_ROUNDS = 8
private const val WARM_UP_REQUESTS = 300
private const val LOW_LOAD_REQUESTS = 2_000
private const val PEAK_REQUESTS = 500
private const val HALF_LOAD_SHARE = 0.45
private const val HALF_LOAD_SECONDS = 8
private const val STREAMS = 16
private const val STREAM_ROUNDS = 3
private const val STREAM_TOKENS = 100
private const val SETTLE_MILLIS = 20_000L
private const val IDLE_SECONDS = 10
private const val PERCENT = 100.0
private const val MILLIS_PER_SECOND = 1e3
private const val MICROS_PER_SECOND = 1e6

/** Upper bound of the latency that entry and agent add below half load, in milliseconds. */
private const val ADDED_MILLIS = 2.0

/** Upper bound of the resident memory of a process, in MiB. */
private const val MEMORY_MEBIBYTES = 256.0

/** Upper bound of the processor time of an idle process, in percent of a core. */
private const val PROCESSOR_PERCENT = 4.8
