package org.shallotplank.integrationtest.load

import java.io.File
import java.io.IOException
import java.net.Socket
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.shallotplank.core.Address
import org.shallotplank.integrationtest.harness.ProcessHarness
import org.shallotplank.testsupport.LoopbackAddresses

/** A process of the deployment, with its options in `deploy/system.toml` and less memory. */
internal abstract class LoadedProcess(
    private val testName: String,
    private val role: String,
    private val memoryOptions: List<String>,
    private val maxResidentMegabytes: Int,
    private val maxDescriptors: Int
) : AutoCloseable {
    private lateinit var process: Process
    private lateinit var logFile: Path

    protected fun start(settings: String) {
        val directory = Path.of("target", "processes", "load", testName).toAbsolutePath()
            .createDirectories()
        val file = directory.resolve("$role.toml").also { it.writeText(settings) }
        logFile = directory.resolve("$role.log")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java) + options() + memoryOptions +
            listOf("-jar", ProcessHarness.shallotplankJar(), role, "--settings", "$file")
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile())
            .start()
    }

    /** The options of the role; without the archive of classes, which other builds make. */
    private fun options(): List<String> {
        val root = Path.of(ProcessHarness.shallotplankJar()).parent.parent.parent
        val run = root.resolve("deploy/system.toml").readText()
            .substringAfter("[roles.$role]").substringAfter("run = \"java ").substringBefore('"')
        return run.substringBefore(" -jar").split(' ').filterNot { "Archive" in it }
    }

    /** Waits for a success at [address]; fails with [state] if there is none within [limit]. */
    fun awaitAnswer(address: Address, path: String, state: String, limit: Duration = ANSWER_TIME) {
        val start = TimeSource.Monotonic.markNow()
        var last = "no connection"
        while (start.elapsedNow() < limit) {
            check(process.isAlive) { "$state: ended with ${process.exitValue()}: ${lastLines()}" }
            last = statusLine(address, path)
            if (last.startsWith("HTTP/1.1 200")) return
            Thread.sleep(RETRY_PAUSE.inWholeMilliseconds)
        }
        error("$state: $path at $address is not answered: $last; ${lastLines()}")
    }

    private fun statusLine(address: Address, path: String): String = try {
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = 2_000
            val request = "GET $path HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ordinary\r\n" +
                "Connection: close\r\n\r\n"
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().bufferedReader().readLine() ?: "closed"
        }
    } catch (e: IOException) {
        "$e"
    }

    /** Fails with [state] if the process has ended or uses more than its bounds. */
    fun checkBounds(state: String) {
        check(process.isAlive) { "$state: ended with ${process.exitValue()}: ${lastLines()}" }
        val descriptors = File("/proc/${process.pid()}/fd").list().orEmpty().size
        val peak = Path.of("/proc/${process.pid()}/status").readText()
            .substringAfter("VmHWM:").substringBefore("kB").trim().toInt() / KILOBYTES
        println("$testName $role, $state: peak of $peak MB resident, $descriptors descriptors")
        check(descriptors <= maxDescriptors) { "$state: $descriptors descriptors are open" }
        check(peak <= maxResidentMegabytes) { "$state: $peak MB resident" }
        check("OutOfMemoryError" !in logFile.readText()) { "$state: out of memory: ${lastLines()}" }
    }

    private fun lastLines(): String = logFile.readText().lines()
        .filter { "Error" in it || "Exception" in it }.takeLast(LAST_LINES)
        .joinToString("\n", prefix = "${logFile.name}: ") { it.take(LINE_CHARACTERS) }

    override fun close() {
        if (::process.isInitialized) process.destroyForcibly().waitFor()
    }

    private companion object {
        const val KILOBYTES = 1_024
        const val LAST_LINES = 3
        const val LINE_CHARACTERS = 300
        val ANSWER_TIME = 8.seconds
        val RETRY_PAUSE = 100.milliseconds
    }
}

/**
 * A gateway entry in front of [SigningUpstream]; [idleTimeout] is that of its limits.
 *
 * @param flooding upstreams of the paths `/flood/` and `/flood-stream/`.
 * @param seeds addresses that the entry takes for those of other entries.
 * @param floodedChanges where calls to the store for changes are passed on to, null for none.
 */
internal class LoadedEntry(
    testName: String,
    longBytes: Int,
    idleTimeout: Duration,
    private val flooding: List<Address> = emptyList(),
    seeds: List<Address> = emptyList(),
    floodedChanges: Address? = null
) : LoadedProcess(
    testName = testName,
    role = "gateway",
    memoryOptions = listOf("-Xmx40m", "-XX:MaxDirectMemorySize=16m"),
    maxResidentMegabytes = 170,
    maxDescriptors = MAX_CONNECTIONS + 60
) {
    private val upstream = SigningUpstream(longBytes)
    private val store = FixedStore(configuration(idleTimeout), upstream.address, flooding)
    private val storeProxy = floodedChanges?.let { ChangesProxy(store.address, it) }
    val callers = LoopbackAddresses.reserve()
    val readiness = LoopbackAddresses.reserve()

    init {
        start(
            """
            instance_id = "entry"
            zone = "a"
            listen_address = "$callers"
            readiness_address = "$readiness"
            directory_address = "${LoopbackAddresses.reserve()}"
            peer_address = "${LoopbackAddresses.reserve()}"
            store_address = "${storeProxy?.address ?: store.address}"
            metrics_port = ${LoopbackAddresses.reserve().port}
            seed_addresses = [${seeds.joinToString(",") { "\"$it\"" }}]
            max_connections = $MAX_CONNECTIONS
            stop_grace_seconds = 1
            entry_list_ttl_seconds = 2
            retry_ratio = 0.2
            retry_window_seconds = 10
            retry_slack = 10
            fences_checked = true
            """.trimIndent()
        )
        awaitAnswer(readiness, "/ready", "start", START_TIME)
        awaitAnswer(callers, "/s/ordinary", "start", START_TIME)
    }

    /** Checks the process and its answers under the load on [place]. */
    fun verify(place: String) {
        awaitAnswer(callers, "/s/ordinary", place)
        awaitAnswer(readiness, "/ready", place)
        checkBounds(place)
    }

    override fun close() {
        super.close()
        storeProxy?.close()
        store.close()
        upstream.close()
    }

    private fun configuration(idleTimeout: Duration): String =
        """{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/s/","kind":"safe",""" +
            """"service":"s","timeout_ms":30000,"goal_ms":20000}${floodRoutes()}],""" +
            """"services":[{"name":"s"}${if (flooding.isEmpty()) "" else ",{\"name\":\"f\"}"}],""" +
            """"limits":{"max_body_bytes":$MAX_BODY_BYTES,"max_header_bytes":16384,""" +
            """"header_timeout_ms":3000,"idle_timeout_ms":${idleTimeout.inWholeMilliseconds}}}"""

    private fun floodRoutes(): String {
        if (flooding.isEmpty()) return ""
        return listOf("flood" to "unsafe", "flood-stream" to "stream").joinToString("") {
            """,{"name":"${it.first}","host":"h.example","prefix":"/${it.first}/",""" +
                """"kind":"${it.second}","service":"f","timeout_ms":30000,"goal_ms":20000}"""
        }
    }

    companion object {
        const val MAX_BODY_BYTES = 1_048_576
        const val MAX_CONNECTIONS = 200
    }
}

/** A relay in front of [StallingEngine]. */
internal class LoadedRelay(testName: String) :
    LoadedProcess(
        testName = testName,
        role = "relay",
        memoryOptions = emptyList(),
        maxResidentMegabytes = 110,
        maxDescriptors = 500
    ) {
    val engine = StallingEngine()
    val callers = LoopbackAddresses.reserve()

    init {
        start(
            """
            instance_id = "relay"
            listen_address = "$callers"
            engine_address = "${engine.address}"
            """.trimIndent()
        )
        awaitAnswer(callers, "/ordinary", "start", START_TIME)
    }

    /** Checks the process and its answers under the load. */
    fun verify() {
        awaitAnswer(callers, "/ordinary", "relay")
        checkBounds("relay")
    }

    override fun close() {
        super.close()
        engine.close()
    }
}

private val START_TIME = 30.seconds
