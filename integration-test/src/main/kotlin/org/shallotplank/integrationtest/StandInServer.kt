package org.shallotplank.integrationtest

import io.ktor.server.application.PipelineCall
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.netty.channel.Channel
import kotlin.coroutines.resume
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.suspendCancellableCoroutine
import org.shallotplank.core.Address

/** Loopback address with port 0, which selects any free port. */
internal val anyLoopbackPort: Address = Address("127.0.0.1", 0)

/** The running HTTP server of one stand-in. */
internal class StandInServer(val address: Address, private val stop: () -> Unit) : AutoCloseable {
    /** Base address of the server's URLs, without a slash at the end. */
    val url: String = "http://$address"

    override fun close(): Unit = stop()
}

/** Starts an HTTP server on [listen] that serves [routes] and `GET /readyz`. */
internal fun startServer(listen: Address, routes: Routing.() -> Unit): StandInServer {
    val server = embeddedServer(Netty, port = listen.port, host = listen.host) {
        routing {
            get("/readyz") { respondJson(Ready()) }
            routes()
        }
    }
    server.start(wait = false)
    val port = runBlocking { server.engine.resolvedConnectors().first().port }
    return StandInServer(listen.copy(port = port)) { server.stop(0, STOP_TIMEOUT_MILLIS) }
}

/** Closes the caller's connection without completing the answer. */
internal suspend fun RoutingContext.abortConnection() {
    suspendCancellableCoroutine { continuation ->
        channel().close().addListener { continuation.resume(Unit) }
    }
}

/** Runs [action] once the caller's connection is closed by either side. */
internal fun RoutingContext.onConnectionClosed(action: () -> Unit) {
    channel().closeFuture().addListener { action() }
}

private fun RoutingContext.channel(): Channel {
    val engineCall: PipelineCall = call.pipelineCall.engineCall
    return (engineCall as NettyApplicationCall).context.channel()
}

private const val STOP_TIMEOUT_MILLIS = 200L
