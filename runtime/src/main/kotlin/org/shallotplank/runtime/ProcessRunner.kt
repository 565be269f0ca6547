package org.shallotplank.runtime

import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.runtime.log.LogWriter

/** External dependencies of a process, which tests replace, and its coroutine scope. */
internal class ProcessContext(
    val clock: Clock = Clock.System,
    val random: Random = Random(SecureRandom().nextLong()),
    writer: LogWriter,
    val metrics: Metrics
) {
    /** Writes a log line and counts its event. */
    val log: LogWriter = { record ->
        metrics.countEvent(record)
        writer(record)
    }

    private val failures = CoroutineExceptionHandler { _, failure ->
        log(logRecord(LogEvent.INTERNAL_ERROR, "error" to failure.toString()))
    }

    /** Scope of all coroutines of the process. */
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + failures)

    /** Completed when no work is left after a stop was requested. */
    val exit = CompletableDeferred<Unit>()
}

/** A running entry instance or agent. */
internal interface RunningProcess {
    /** Starts listening and serving. */
    suspend fun start()

    /** Requests a graceful shutdown. */
    suspend fun requestStop()

    /** Closes the remaining connections and servers. */
    fun close()
}

/**
 * Runs [process] until it has stopped after SIGTERM or SIGINT.
 *
 * A graceful shutdown exits with status 0. It waits for requests in flight for at most
 * [drainTimeout] plus [CLOSING_GRACE].
 */
internal fun runUntilStopped(
    process: RunningProcess,
    context: ProcessContext,
    drainTimeout: Duration
) {
    System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
    val hook = Thread {
        runBlocking {
            process.requestStop()
            withTimeoutOrNull(drainTimeout + CLOSING_GRACE) { context.exit.await() }
        }
        process.close()
        context.scope.cancel()
        context.log(logRecord(LogEvent.PROCESS_STOPPED))
        Runtime.getRuntime().halt(0)
    }
    runBlocking { process.start() }
    Runtime.getRuntime().addShutdownHook(hook)
    Thread.currentThread().join()
}

/** Set to false: Ktor's shutdown hook stops its servers at SIGTERM despite requests in flight. */
private const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
private val CLOSING_GRACE = 3.seconds
