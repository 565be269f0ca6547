package org.shallotplank.integrationtest

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import org.shallotplank.core.Address

/** Stand-in for a plain HTTP service; counts each execution. */
internal class PlainServiceStandIn(
    listen: Address = anyLoopbackPort,
    settings: PlainServiceSettings = PlainServiceSettings(),
    firstIncarnation: Long = 1,
    onCrash: () -> Unit = {}
) : AutoCloseable {
    private val executions = ExecutionCounter()
    private val state = PlainServiceState(settings, firstIncarnation, onCrash)
    private val server = startServer(listen) {
        route("/{path...}") { handle { execute() } }
        controlRoutes()
    }

    val address: Address = server.address
    val url: String = server.url

    override fun close(): Unit = server.close()

    private fun Route.controlRoutes() {
        get("/load") { respondJson(state.loadReport()) }
        get("/executions") { respondJson(executions.report()) }
        post("/faults") {
            state.inject(receiveJson())
            respondJson(Accepted())
        }
    }

    private suspend fun RoutingContext.execute() {
        val body = call.receive<ByteArray>()
        if (!state.begin()) {
            respondJson(Refused("service crashed"), HttpStatusCode.InternalServerError)
            return
        }
        try {
            answer(body)
        } finally {
            state.end()
        }
    }

    private suspend fun RoutingContext.answer(body: ByteArray) {
        val isCounted = call.request.httpMethod == HttpMethod.Post
        val execution = if (isCounted) executions.start(call.callerRequest()) else 0
        if (state.crashesOn(body.decodeToString())) {
            abortConnection()
            return
        }
        delay(state.takeAnswerTime())
        if (isCounted) executions.finish()
        val answer = ExecutionAnswer(execution, sha256(body))
        when {
            state.takeLostAnswer() -> abortConnection()
            state.takeCutAnswer() -> respondCut(standInJson.encodeToString(answer))
            else -> respondJson(answer)
        }
    }

    /** Sends the first half of [text] as a chunk and closes the connection. */
    private suspend fun RoutingContext.respondCut(text: String) {
        call.respondBytesWriter(ContentType.Application.Json) {
            writeStringUtf8(text.take(text.length / 2))
            flush()
            abortConnection()
        }
    }
}
