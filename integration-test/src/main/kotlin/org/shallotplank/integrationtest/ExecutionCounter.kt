package org.shallotplank.integrationtest

import io.ktor.server.request.header
import io.ktor.server.routing.RoutingCall
import kotlinx.serialization.Serializable

/** Identity of a request as its caller set it in the headers. */
internal data class CallerRequest(val requestId: String?, val idempotencyKey: String?)

/** Reads the request identity from the headers of this call. */
internal fun RoutingCall.callerRequest(): CallerRequest =
    CallerRequest(request.header("X-Request-Id"), request.header("Idempotency-Key"))

/** Execution counts of a stand-in; the answer of `GET /executions`. */
@Serializable
internal data class ExecutionReport(
    val started: Int,
    val finished: Int,
    val cancelled: Int,
    val byRequest: Map<String, Int>,
    val byIdempotencyKey: Map<String, Int>
)

/** Counts executions, so that tests can detect requests that ran more than once. */
internal class ExecutionCounter {
    private var started = 0
    private var finished = 0
    private var cancelled = 0
    private val byRequest = sortedMapOf<String, Int>()
    private val byIdempotencyKey = sortedMapOf<String, Int>()

    /** Counts a start and returns the number of starts so far. */
    @Synchronized
    fun start(request: CallerRequest): Int {
        request.requestId?.let { byRequest.merge(it, 1, Int::plus) }
        request.idempotencyKey?.let { byIdempotencyKey.merge(it, 1, Int::plus) }
        return ++started
    }

    /** Counts an execution that completed. */
    @Synchronized
    fun finish() {
        finished++
    }

    /** Counts an execution that its caller cancelled. */
    @Synchronized
    fun cancel() {
        cancelled++
    }

    /** Returns all counts so far. */
    @Synchronized
    fun report(): ExecutionReport =
        ExecutionReport(started, finished, cancelled, byRequest.toMap(), byIdempotencyKey.toMap())
}
