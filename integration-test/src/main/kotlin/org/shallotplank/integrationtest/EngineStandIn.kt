package org.shallotplank.integrationtest

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.io.IOException
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.shallotplank.core.Address
import org.shallotplank.core.config.Priority

/** Stand-in for an inference engine that streams tokens as server-sent events. */
internal class EngineStandIn(
    listen: Address = anyLoopbackPort,
    settings: EngineSettings = EngineSettings(),
    firstIncarnation: Long = 1,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onCrash: () -> Unit = {}
) : AutoCloseable {
    private val executions = ExecutionCounter()
    private val rank = RankStandIn(settings.checksFencing)
    private val orders = OrderBook(settings.checksFencing)
    private val batch =
        EngineBatch(settings, executions, firstIncarnation, ::handleCrash, timeSource)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val server: StandInServer

    init {
        scope.launch { batch.run() }
        server = startServer(listen) {
            engineRoutes()
            rankRoutes()
            controlRoutes()
        }
    }

    val address: Address = server.address
    val url: String = server.url

    override fun close() {
        server.close()
        scope.cancel()
    }

    private fun handleCrash() {
        rank.restart()
        onCrash()
    }

    private fun Route.engineRoutes() {
        post("/{path...}") { generate() }
        get("/load") { respondJson(batch.loadReport()) }
        post("/orders") { acceptOrder() }
        get("/orders") { respondJson(orders.log()) }
    }

    private fun Route.rankRoutes() {
        post("/rank/stage") { respondRank(rank.stage(receiveJson())) }
        post("/rank/arm") { respondRank(rank.arm(receiveJson())) }
        post("/rank/step") { respondRank(rank.step(receiveJson())) }
        get("/rank/steps") { respondJson(RankSteps(rank.steps())) }
    }

    private fun Route.controlRoutes() {
        get("/executions") { respondJson(executions.report()) }
        post("/faults") {
            batch.inject(receiveJson())
            respondJson(Accepted())
        }
    }

    private suspend fun RoutingContext.generate() {
        val request = receiveJson<GenerationRequest>()
        val skipTokens = call.request.header("Last-Event-ID")?.toIntOrNull() ?: 0
        val stream = batch.submit(request, call.callerRequest(), priority(), skipTokens)
        if (stream == null) {
            respondJson(Refused("engine crashed"), HttpStatusCode.InternalServerError)
            return
        }
        onConnectionClosed { stream.cancel() }
        call.respondBytesWriter(ContentType.Text.EventStream) {
            try {
                writeEvents(stream)
            } catch (_: IOException) {
                stream.cancel()
                abortConnection()
            }
        }
    }

    private fun RoutingContext.priority(): Int {
        val name = call.request.header("X-Priority")
        return (Priority.entries.find { it.name == name } ?: Priority.INTERACTIVE).ordinal
    }

    private suspend fun RoutingContext.acceptOrder() {
        val refusal = orders.accept(receiveJson())
        if (refusal == null) {
            respondJson(Accepted())
        } else {
            respondJson(refusal, HttpStatusCode.Conflict)
        }
    }

    private suspend fun RoutingContext.respondRank(result: RankResult) = when (result) {
        is RankResult.Done -> respondJson(result.state)
        is RankResult.Rejected -> respondJson(result.state, HttpStatusCode.Conflict)
    }
}

private suspend fun ByteWriteChannel.writeEvents(stream: GeneratedStream) {
    flush()
    stream.collect { token ->
        val data = standInJson.encodeToString(TokenEvent(token.word))
        writeStringUtf8("id: ${token.number}\ndata: $data\n\n")
        flush()
    }
    val end = standInJson.encodeToString(EndEvent(stream.totalTokens))
    writeStringUtf8("event: end\ndata: $end\n\n")
    flush()
}
