package org.shallotplank.integrationtest.harness

import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runInterruptible
import org.shallotplank.core.Address
import org.shallotplank.integrationtest.HttpCaller

/** A child process that a test started. */
internal class ManagedProcess(
    val name: String,
    /** Address at which the process serves `GET /readyz`. */
    val adminAddress: Address,
    /** File that receives the standard output and standard error of the process. */
    val logFile: Path,
    private val process: Process
) : AutoCloseable {
    val pid: Long = process.pid()

    /** Whether the process has not ended; true for a suspended one. */
    val isAlive: Boolean get() = process.isAlive

    /** Base URL of the administrative interface, without a trailing slash. */
    val adminUrl: String = "http://$adminAddress"

    /** Returns the output of the process so far. */
    fun log(): String = logFile.readText()

    /** Waits until `GET /readyz` answers 200; fails if the process ends or after [timeout]. */
    suspend fun awaitReady(timeout: Duration = 30.seconds) {
        val start = TimeSource.Monotonic.markNow()
        while (!isReady()) {
            check(process.isAlive) { "$name exited with status ${process.exitValue()}:\n${log()}" }
            check(start.elapsedNow() < timeout) { "$name was not ready after $timeout:\n${log()}" }
            delay(READY_POLL)
        }
    }

    /** Kills the process with SIGKILL and waits for its end. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Suspends the process with SIGSTOP. */
    fun pause(): Unit = signal("STOP")

    /** Resumes a suspended process with SIGCONT. */
    fun resume(): Unit = signal("CONT")

    /** Asks the process to stop with SIGTERM. */
    fun terminate(): Unit = signal("TERM")

    /** Waits for the end of the process and returns its exit status. */
    suspend fun awaitExit(timeout: Duration = 30.seconds): Int {
        val hasEnded = runInterruptible(Dispatchers.IO) {
            process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
        check(hasEnded) { "$name did not end within $timeout:\n${log()}" }
        return process.exitValue()
    }

    /** Ends the process if it still runs. */
    override fun close(): Unit = kill()

    private suspend fun isReady(): Boolean = try {
        readinessCaller.call("GET", "$adminUrl/readyz").status == OK
    } catch (_: IOException) {
        false
    }

    private fun signal(name: String) {
        check(process.isAlive) { "${this.name} has ended" }
        val status = ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
        check(status == 0) { "kill -$name $pid exited with $status" }
    }

    private companion object {
        const val OK = 200
        val READY_POLL = 50.milliseconds
        val readinessCaller = HttpCaller(timeout = 2.seconds, connectTimeout = 2.seconds)
    }
}
