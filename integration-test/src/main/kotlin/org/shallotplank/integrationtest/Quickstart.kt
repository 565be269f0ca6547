package org.shallotplank.integrationtest

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.copyTo
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.relativeTo
import kotlin.io.path.writeText
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.shallotplank.integrationtest.cluster.LoopbackCluster
import org.shallotplank.integrationtest.harness.ManagedProcess

/** Runs the quickstart on loopback with the configuration in the directory `args[0]`. */
public fun main(args: Array<String>) {
    val isWhole = runBlocking {
        LoopbackCluster("quickstart").use { Quickstart(it, Path.of(args[0])).run() }
    }
    exitProcess(if (isWhole) 0 else 1)
}

/** The steps of the quickstart; each prints a line with its result. */
private class Quickstart(private val cluster: LoopbackCluster, source: Path) {
    private val directory = cluster.harness.directory.resolve("published")
    private val caller = HttpCaller()
    private var failures = 0

    init {
        copyTree(source, directory)
    }

    suspend fun run(): Boolean {
        publish("publish the example")
        cluster.startAll()
        show("started", "${cluster.entries.size} entries, ${cluster.upstreams.size} agents", true)
        askForEntries()
        streamQuote()
        orderTwice()
        takeZoneOut()
        bringZoneBack()
        status()
        stop()
        println(
            if (failures ==
                0
            ) {
                "quickstart: all as expected"
            } else {
                "quickstart: $failures failed"
            }
        )
        return failures == 0
    }

    private fun publish(step: String, vararg waitFor: String) {
        val waits = waitFor.flatMap { listOf("--wait", it) }.toTypedArray()
        val result = cluster.harness.run(
            "publish",
            "--platform",
            "${cluster.platform.address}",
            *waits,
            "$directory"
        )
        val said = (result.output + result.errors).trim().replace("\n", "; ")
        show(step, said, result.exitStatus == 0)
    }

    private suspend fun askForEntries() {
        val reply = caller.call("GET", "${entryUrl()}/v1/entries?zone=khomas-b")
        show("GET /v1/entries?zone=khomas-b", reply.body.take(SHOWN_CHARS), reply.status == OK)
    }

    private suspend fun streamQuote() {
        val body = """{"prompt":"Quote 40 m of kerb stone for Okahandja","max_tokens":24}"""
        val events = caller.events(url("draft-model", "/quotes"), body, headers()).toList()
        val isWhole = events.lastOrNull()?.name == "end"
        show("stream a quote", "${events.size - 1} tokens, end event: $isWhole", isWhole)
    }

    private suspend fun orderTwice() {
        val body = """{"pour":"ten cubic metres","site":"Aris"}"""
        val headers = headers() + ("Idempotency-Key" to "pour-2026-12-04-aris")
        val first = caller.call("POST", url("order-app", "/bookings"), body, headers)
        val second = caller.call("POST", url("order-app", "/bookings", 1), body, headers)
        val executions = cluster.upstreams
            .filter { it.settings.service.value == "order-app" }
            .sumOf { executionsOf(it.server.url) }
        show("book a pour", "${first.status} ${first.body}", first.status == OK)
        val replayed = second.headers["idempotent-replayed"]
        show(
            "send it again",
            "${second.status} ${second.body} replayed=$replayed",
            second.body == first.body
        )
        show("executions of the order", "$executions", executions == 1)
    }

    private suspend fun executionsOf(url: String): Int =
        caller.get<ExecutionReport>("$url/executions").byIdempotencyKey.values.sum()

    private suspend fun takeZoneOut() {
        editZone(inService = false)
        val admins = cluster.entries.map { "${it.settings.adminAddress}" }.toTypedArray()
        publish("take khomas-b out", *admins)
        val before = startedIn("khomas-b")
        repeat(QUOTES) { streamQuietly() }
        val during = startedIn("khomas-b") - before
        show("requests started in khomas-b", "$during of $QUOTES", during == 0)
    }

    private suspend fun bringZoneBack() {
        editZone(inService = true)
        val admins = cluster.entries.map { "${it.settings.adminAddress}" }.toTypedArray()
        publish("bring khomas-b back", *admins)
        val before = startedIn("khomas-b")
        val start = TimeSource.Monotonic.markNow()
        while (startedIn("khomas-b") == before && start.elapsedNow() < RETURN_LIMIT) {
            streamQuietly(entryIn("khomas-b"))
            delay(RETRY_PAUSE)
        }
        val after = startedIn("khomas-b") - before
        show("khomas-b takes requests again", "$after started", after > 0)
    }

    private suspend fun streamQuietly(entry: Int = 0) {
        val body = """{"prompt":"Kerb stone quote","max_tokens":4}"""
        caller.call("POST", url("draft-model", "/quotes", entry), body, headers())
    }

    /**
     * Index of the first entry in [zone], which prefers the upstreams of its own zone while they
     * have capacity.
     */
    private fun entryIn(zone: String): Int =
        cluster.entries.indexOfFirst { it.settings.zone.value == zone }

    private suspend fun startedIn(zone: String): Int = cluster.upstreams
        .filter { it.settings.zone.value == zone }
        .sumOf { caller.get<ExecutionReport>("${it.server.url}/executions").started }

    private fun status() {
        val admin = "${cluster.entries.first().settings.adminAddress}"
        val result = cluster.harness.run("status", "--admin", admin)
        show("status", "", result.exitStatus == 0)
        result.output.lines().filter { it.isNotBlank() }.takeLast(STATUS_LINES).forEach {
            println("    $it")
        }
    }

    private suspend fun stop() {
        val processes = cluster.entries.map { it.process } + cluster.upstreams.map { it.process }
        processes.forEach { it.terminate() }
        val statuses = processes.map { exitStatus(it) }
        show("graceful shutdown", "exit statuses ${statuses.distinct()}", statuses.all { it == 0 })
    }

    private suspend fun exitStatus(process: ManagedProcess): Int = process.awaitExit()

    private fun editZone(inService: Boolean) {
        val file = directory.resolve("zones.toml")
        val text = file.readText()
        val at = text.indexOf("khomas-b")
        val edited = text.substring(at)
            .replaceFirst("in_service = ${!inService}", "in_service = $inService")
        file.writeText(text.substring(0, at) + edited)
    }

    private fun entryUrl(index: Int = 0): String = cluster.entries[index].url

    private fun url(service: String, path: String, entry: Int = 0): String =
        "${entryUrl(entry)}/services/$service$path"

    private fun headers(): Map<String, String> = mapOf(
        "Authorization" to "Bearer example-token-foremen-windhoek",
        "Content-Type" to "application/json"
    )

    private fun show(step: String, seen: String, isExpected: Boolean) {
        if (!isExpected) failures += 1
        println("${if (isExpected) "ok  " else "FAIL"} $step: $seen")
    }

    private companion object {
        const val OK = 200
        const val SHOWN_CHARS = 120
        const val QUOTES = 8
        const val STATUS_LINES = 7
        val RETURN_LIMIT = 20.seconds
        val RETRY_PAUSE = 50.milliseconds
    }
}

private fun copyTree(source: Path, target: Path) {
    Files.walk(source).use { files ->
        files.forEach { file ->
            val copy = target.resolve(file.relativeTo(source).toString())
            if (Files.isDirectory(file)) copy.createDirectories() else file.copyTo(copy, true)
        }
    }
}
