package org.shallotplank.runtime.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json
import org.shallotplank.core.Address

/** HTTP server for the metrics, health, readiness and status of a process. */
internal class AdminServer(
    address: Address,
    private val isReady: () -> Boolean,
    private val scrape: () -> String,
    private val status: () -> ProcessStatus
) {
    private val server: EmbeddedServer<*, *> = embeddedServer(
        Netty,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            workerGroupSize = 1
            callGroupSize = 1
            connectionGroupSize = 1
        }
    ) {
        routing {
            get("/healthz") { call.respondText("ok\n") }
            get("/readyz") {
                val code = if (isReady()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondText("${code.description.lowercase()}\n", status = code)
            }
            get("/metrics") { call.respondText(scrape(), ContentType.Text.Plain) }
            get("/status") {
                val text = Json.encodeToString(ProcessStatus.serializer(), status())
                call.respondText(text, ContentType.Application.Json)
            }
        }
    }

    fun start() {
        server.start(wait = false)
    }

    fun stop(): Unit = server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
}
