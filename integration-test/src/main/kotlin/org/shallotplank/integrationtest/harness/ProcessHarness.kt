package org.shallotplank.integrationtest.harness

import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings
import org.shallotplank.core.Address
import org.shallotplank.testsupport.LoopbackAddresses

/** Exit status and output of a completed command. */
internal data class CommandResult(val exitStatus: Int, val output: String, val errors: String)

/** Starts entries, agents and stand-ins as processes for one test; ends them when closed. */
internal class ProcessHarness(
    testName: String,
    private val jvmOptions: PersistentList<String> = fastStartOptions
) : AutoCloseable {
    private val processes = CopyOnWriteArrayList<ManagedProcess>()
    private val launches = ConcurrentHashMap<String, Int>()

    /** Directory of the settings files and logs of the test. */
    val directory: Path =
        Path.of("target", "processes", testName).toAbsolutePath().createDirectories()

    /** File with the cluster key of all processes of the test. */
    val clusterKeyFile: Path = directory.resolve("cluster.key").also { it.writeText(CLUSTER_KEY) }

    private val endAtExit = Thread(::endAll).also { Runtime.getRuntime().addShutdownHook(it) }

    /** Starts an entry instance without waiting until it is ready. */
    fun startEntry(settings: EntrySettings): ManagedProcess =
        startCommand("entry", settings.instanceId.value, settings.toToml(), settings.adminAddress)

    /** Starts an agent without waiting until it is ready. */
    fun startAgent(settings: AgentSettings): ManagedProcess =
        startCommand("agent", settings.instanceId.value, settings.toToml(), settings.adminAddress)

    /** Starts a stand-in, such as `engine`, as a process without waiting until it is ready. */
    fun startStandIn(
        kind: String,
        listen: Address = LoopbackAddresses.reserve(),
        options: List<String> = emptyList()
    ): ManagedProcess {
        val command = listOf("-cp", System.getProperty("java.class.path"), STAND_IN_MAIN, kind) +
            listOf("--listen", "$listen") + options
        return start("$kind-${listen.port}", command, listen)
    }

    /** Runs `shallotplank` with [arguments], such as `publish`, and waits for its end. */
    fun run(vararg arguments: String, timeout: Duration = 60.seconds): CommandResult {
        val errorFile = directory.resolve(logName("command-errors"))
        val outputFile = directory.resolve(logName("command-output"))
        val process = ProcessBuilder(java() + listOf("-jar", shallotplankJar()) + arguments)
            .redirectOutput(outputFile.toFile())
            .redirectError(errorFile.toFile())
            .start()
        if (!process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor()
            error("${arguments.joinToString(" ")} did not end within $timeout")
        }
        return CommandResult(process.exitValue(), outputFile.readText(), errorFile.readText())
    }

    override fun close() {
        endAll()
        Runtime.getRuntime().removeShutdownHook(endAtExit)
    }

    private fun startCommand(
        command: String,
        name: String,
        settings: String,
        adminAddress: Address
    ): ManagedProcess {
        val file = directory.resolve("$name.toml")
        file.writeText(settings)
        val arguments = listOf("-jar", shallotplankJar(), command, "--settings", "$file")
        return start(name, arguments, adminAddress)
    }

    private fun start(name: String, arguments: List<String>, admin: Address): ManagedProcess {
        val logFile = directory.resolve(logName(name))
        val process = ProcessBuilder(java() + arguments)
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile())
            .start()
        return ManagedProcess(name, admin, logFile, process).also { processes += it }
    }

    private fun endAll(): Unit = processes.forEach { it.close() }

    private fun logName(name: String): String = "$name-${launches.merge(name, 1, Int::plus)}.log"

    private fun java(): List<String> =
        listOf(Path.of(System.getProperty("java.home"), "bin", "java").toString()) + jvmOptions

    internal companion object {
        private const val CLUSTER_KEY =
            "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n"
        private const val STAND_IN_MAIN = "org.shallotplank.integrationtest.MainKt"

        /** JVM options for many small processes on one machine that start fast. */
        val fastStartOptions: PersistentList<String> =
            persistentListOf("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Path of the packaged jar, from the system property `shallotplank.jar` of the build. */
        fun shallotplankJar(): String = checkNotNull(System.getProperty("shallotplank.jar")) {
            "the system property shallotplank.jar is not set"
        }
    }
}
