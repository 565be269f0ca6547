package org.shallotplank.integrationtest.load

import io.ktor.http.ContentType
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import java.net.Socket
import java.util.Base64
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import org.shallotplank.core.Address
import org.shallotplank.integrationtest.anyLoopbackPort
import org.shallotplank.integrationtest.startServer

/**
 * Stand-in for the platform's store that holds one configuration, one upstream of the service `s`
 * and those of the service `f` at [others].
 */
internal class FixedStore(
    configuration: String,
    upstream: Address,
    others: List<Address> = emptyList()
) : AutoCloseable {
    private val rowsByTable = mapOf(
        "op" to row("config", configuration),
        "servers" to (
            listOf(upstreamRow("upstream", "s", upstream)) +
                others.mapIndexed { index, address -> upstreamRow("other$index", "f", address) }
            ).joinToString(",")
    )
    private val server = startServer(anyLoopbackPort) {
        get("/rows-get") { answer(rowsByTable[call.request.queryParameters["table"]].orEmpty()) }
        get("/rows-feed") {
            delay(call.request.queryParameters["wait_ms"]?.toLong() ?: 0)
            answer("")
        }
        post("/rows-tx") {
            call.receive<ByteArray>()
            answer("")
        }
    }

    val address: Address = server.address

    override fun close(): Unit = server.close()

    private suspend fun RoutingContext.answer(rows: String) {
        call.response.header("Store-Era", "1")
        call.respondText("""{"rows":[$rows],"ver":1,"now_ms":0}""", ContentType.Application.Json)
    }

    private fun upstreamRow(id: String, service: String, address: Address) = row(
        id,
        """{"service":"$service","zone":"a","addr":"$address","slots":$UPSTREAM_SLOTS,""" +
            """"state":"ready"}"""
    )

    private fun row(key: String, value: String): String {
        val encoded = Base64.getEncoder().encodeToString(value.toByteArray())
        return """{"key":"$key","value":"$encoded","ver":1}"""
    }

    private companion object {
        const val UPSTREAM_SLOTS = 32
    }
}

/** Upstream that signs its answers as engines do; `/s/long` answers [longBytes], others a word. */
internal class SigningUpstream(private val longBytes: Int) : AutoCloseable {
    private val server = startServer(anyLoopbackPort) {
        route("/{path...}") {
            handle {
                call.receive<ByteArray>()
                call.request.headers["Attempt-Id"]?.let { call.response.header("Attempt-Id", it) }
                call.response.header("Answer-Stamp", "stamp")
                val isLong = call.parameters.getAll("path").orEmpty().last() == "long"
                call.respondBytes(if (isLong) ByteArray(longBytes) else "done".toByteArray())
            }
        }
    }

    val address: Address = server.address

    override fun close(): Unit = server.close()
}

/**
 * Engine behind a relay that answers `/ordinary` and `/long`, answers `/flood` without end, and
 * stops reading other requests after their first bytes.
 */
internal class StallingEngine : AcceptingServer() {
    /** Bytes of `/flood` that the other side has taken so far. */
    val floodedBytes = AtomicLong()

    init {
        startAccepting()
    }

    override fun serve(socket: Socket) {
        val begin = ByteArray(FIRST_BYTES)
        val count = socket.getInputStream().read(begin)
        val target = String(begin, 0, count.coerceAtLeast(0)).substringAfter(' ')
            .substringBefore(' ')
        val bytes = when (target) {
            "/ordinary" -> 4
            "/long" -> LONG_BYTES
            "/flood" -> return flood(socket)
            else -> return
        }
        val head = "HTTP/1.1 200 OK\r\nContent-Length: $bytes\r\n\r\n"
        socket.getOutputStream().write(head.toByteArray() + ByteArray(bytes))
    }

    private fun flood(socket: Socket) {
        val piece = ByteArray(FLOOD_PIECE_BYTES)
        while (true) {
            socket.getOutputStream().write(piece)
            floodedBytes.addAndGet(piece.size.toLong())
        }
    }

    private companion object {
        const val FLOOD_PIECE_BYTES = 16_384
        const val FIRST_BYTES = 64
        const val LONG_BYTES = 8 * 1_048_576
    }
}

/** Passes connections on to [store], but those that ask for changes of a table to [changes]. */
internal class ChangesProxy(private val store: Address, private val changes: Address) :
    AcceptingServer() {
    init {
        startAccepting()
    }

    /** Opens a connection for each request, to the target that its first bytes name. */
    override fun serve(socket: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = socket.getInputStream().read(buffer)
            if (count < 0) break
            val request = String(buffer, 0, count)
            val target = if ("/rows-feed" in request) changes else store
            track(Socket(target.host, target.port)).use { upstream ->
                val closing = request.replaceFirst("\r\n", "\r\nConnection: close\r\n")
                upstream.getOutputStream().write(closing.toByteArray())
                upstream.getInputStream().copyTo(socket.getOutputStream())
            }
        }
        socket.close()
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
