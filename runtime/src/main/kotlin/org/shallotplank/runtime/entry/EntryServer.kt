package org.shallotplank.runtime.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withContext
import kotlinx.io.readByteArray
import kotlinx.serialization.json.Json
import org.shallotplank.config.EntrySettings
import org.shallotplank.core.Instance
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.entry.IncomingCall
import org.shallotplank.core.execution.sha256Hex
import org.shallotplank.runtime.Metrics

/** Connects the HTTP server of an entry to the rest of the process. */
internal class EntryServerPorts(
    /** Submits a request to the reducer; the returned channel receives the answer's parts. */
    val submit: suspend (IncomingCall) -> ReceiveChannel<AnswerPart>,
    val callerLeft: suspend (RequestId) -> Unit,
    val entries: (zone: ZoneName?, spread: Int) -> PersistentList<Instance>
)

/** HTTP server for callers: the list of entry instances and the operations of services. */
internal class EntryServer(
    private val settings: EntrySettings,
    private val ports: EntryServerPorts,
    private val metrics: Metrics,
    private val clock: Clock
) {
    private val requestCount = AtomicLong()
    private val idPrefix = "${settings.instanceId}-${clock.now().toEpochMilliseconds()}"
    private val server: EmbeddedServer<*, *> = embeddedServer(
        Netty,
        configure = {
            connector {
                host = settings.listenAddress.host
                port = settings.listenAddress.port
            }
            maxInitialLineLength = MAX_REQUEST_LINE_BYTES
            maxHeaderSize = settings.maxHeaderBytes
            channelPipelineConfig = {
                addLast(
                    IdleStateHandler(0, 0, settings.idleTimeout.inWholeSeconds, TimeUnit.SECONDS)
                )
                addLast(CloseWhenIdle())
            }
        },
        module = { serve() }
    )

    fun start() {
        server.start(wait = false)
    }

    fun stop(grace: Duration): Unit = server.stop(
        gracePeriodMillis = grace.inWholeMilliseconds,
        timeoutMillis = grace.inWholeMilliseconds
    )

    private fun Application.serve() = routing {
        get("/v1/entries") { respondEntries(call) }
        route("/services/{service}/{path...}") {
            handle { handle(call) }
        }
    }

    private suspend fun respondEntries(call: ApplicationCall) {
        val zone = call.request.queryParameters["zone"]?.let(::ZoneName)
        val entries = ports.entries(zone, requestCount.getAndIncrement().toInt())
        val document = EntryList(
            ttlSeconds = settings.entryListTtl.inWholeSeconds,
            entries = entries.mapNotNull { entry ->
                entry.publicAddress?.let { EntryAddress(entry.id, entry.zone, it.host, it.port) }
            }
        )
        val maxAge = settings.entryListTtl.inWholeSeconds
        call.response.header(HttpHeaders.CacheControl, "max-age=$maxAge")
        call.respondText(Json.encodeToString(document), ContentType.Application.Json)
    }

    private suspend fun handle(call: ApplicationCall) {
        val requestId = RequestId("$idPrefix-${requestCount.incrementAndGet()}")
        val callerId = call.request.headers["X-Request-Id"]?.take(MAX_ID_CHARS)
            ?.filter { it.isLetterOrDigit() || it in "-_.:" }
            ?.ifEmpty { null } ?: requestId.value
        call.response.header("X-Request-Id", callerId)
        if (call.request.headers.entries().sumOf { it.value.size } > settings.maxHeaderCount) {
            return call.reject(HEADERS_TOO_MANY, "too-many-headers", callerId)
        }
        if (call.request.headers[HttpHeaders.TransferEncoding] != null) {
            return call.reject(HttpStatusCode.LengthRequired, "length-required", callerId)
        }
        val body = call.readBody()
            ?: return call.reject(HttpStatusCode.PayloadTooLarge, "body-too-large", callerId)
        val incoming = call.incoming(requestId, callerId, body)
        val startedAt = clock.now()
        val parts = ports.submit(incoming)
        try {
            answer(call, parts, callerId, startedAt)
        } catch (e: CancellationException) {
            ports.callerLeft(requestId)
            throw e
        } catch (e: IOException) {
            ports.callerLeft(requestId)
            throw e
        }
    }

    /**
     * Reads the body; returns null when it is larger than the settings allow.
     *
     * Throws an IOException when it is shorter than declared. Requests with a chunked body are
     * rejected before this call, since Ktor takes a truncated chunked body for a complete one.
     */
    private suspend fun ApplicationCall.readBody(): ByteArray? {
        val declaredBytes = request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (declaredBytes > settings.maxBodyBytes) return null
        val body = receiveChannel().readRemaining(settings.maxBodyBytes + 1L).readByteArray()
        if (body.size.toLong() != declaredBytes) {
            throw IOException("expected a body of $declaredBytes bytes, found ${body.size}")
        }
        return body
    }

    private fun ApplicationCall.incoming(
        requestId: RequestId,
        callerId: String,
        body: ByteArray
    ): IncomingCall {
        val service = parameters["service"].orEmpty()
        val method = request.httpMethod.value
        val path = request.uri.removePrefix("/services/$service")
        val token = request.headers[HttpHeaders.Authorization]
            ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
            ?.substring(BEARER.length)?.trim()
        return IncomingCall(
            requestId = requestId,
            callerRequestId = callerId,
            service = ServiceName(service),
            method = method,
            path = path,
            contentType = request.headers[HttpHeaders.ContentType],
            body = Payload(body),
            digest = sha256Hex("$method $path\n".encodeToByteArray() + body),
            tokenSha256 = token?.let { sha256Hex(it) },
            idempotencyKey = request.headers["Idempotency-Key"]?.take(MAX_KEY_CHARS),
            prefix = promptPrefix(body)
        )
    }

    private suspend fun answer(
        call: ApplicationCall,
        parts: ReceiveChannel<AnswerPart>,
        callerId: String,
        startedAt: Instant
    ) {
        when (val first = parts.receive()) {
            is AnswerPart.Whole -> {
                metrics.answered(first.head.status, clock.now() - startedAt)
                if (first.head.replayed) call.response.header("Idempotent-Replayed", "true")
                call.respondBytes(
                    first.body.bytes,
                    first.head.contentType?.let { ContentType.parse(it) },
                    HttpStatusCode.fromValue(first.head.status)
                )
            }
            is AnswerPart.Begin -> {
                stream(call, first, parts)
                metrics.answered(first.head.status, clock.now() - startedAt)
            }
            is AnswerPart.Refused -> {
                val status = first.refusal.httpStatus.value
                metrics.refused(first.refusal.runState, status, clock.now() - startedAt)
                call.refuse(first.refusal, callerId)
            }
            is AnswerPart.Rejected -> {
                val status = HttpStatusCode.fromValue(first.rejection.status)
                metrics.rejected(status.value, clock.now() - startedAt)
                call.reject(status, first.rejection.name, callerId, first.rejection.detail)
            }
            else -> error("expected the beginning of an answer, found $first")
        }
    }

    private suspend fun stream(
        call: ApplicationCall,
        begin: AnswerPart.Begin,
        parts: ReceiveChannel<AnswerPart>
    ) {
        val type = begin.head.contentType?.let { ContentType.parse(it) }
        call.response.header(HttpHeaders.CacheControl, "no-store")
        call.respondBytesWriter(type, HttpStatusCode.fromValue(begin.head.status)) {
            var isWhole = false
            try {
                writeParts(parts)
                isWhole = true
            } finally {
                // After a failure Ktor may still send the terminating chunk, with which the
                // caller would take a truncated answer for a complete one.
                if (!isWhole) call.closeConnection()
            }
        }
    }

    /** Writes [parts] until [AnswerPart.End]; throws an IOException if they stop before it. */
    private suspend fun ByteWriteChannel.writeParts(parts: ReceiveChannel<AnswerPart>) {
        for (part in parts) {
            when (part) {
                is AnswerPart.Continue -> {
                    writeFully(part.payload.bytes)
                    flush()
                }
                AnswerPart.End -> return
                else -> throw IOException("the answer was aborted before its end")
            }
        }
        throw IOException("the caller reads too slowly; the answer buffer is full")
    }

    private suspend fun ApplicationCall.closeConnection() {
        val engineCall = (this as RoutingCall).pipelineCall.engineCall as NettyApplicationCall
        withContext(NonCancellable) {
            suspendCoroutine { closed ->
                engineCall.context.close().addListener { closed.resume(Unit) }
            }
        }
    }

    private suspend fun ApplicationCall.refuse(refusal: Refusal, callerId: String) {
        if (refusal.retryAfterMillis > 0) {
            val seconds = (refusal.retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            response.header(HttpHeaders.RetryAfter, seconds.toString())
        }
        respondProblem(ProblemDocument.of(refusal, callerId))
    }

    private suspend fun ApplicationCall.reject(
        status: HttpStatusCode,
        code: String,
        callerId: String,
        detail: String = status.description
    ): Unit = respondProblem(ProblemDocument.rejected(status.value, code, detail, callerId))

    private suspend fun ApplicationCall.respondProblem(problem: ProblemDocument): Unit =
        respondText(
            Json.encodeToString(problem),
            ContentType.Application.ProblemJson,
            HttpStatusCode.fromValue(problem.status)
        )

    private companion object {
        const val BEARER = "Bearer "
        const val MAX_REQUEST_LINE_BYTES = 8192
        const val MAX_ID_CHARS = 128
        const val MAX_KEY_CHARS = 255
        const val MILLIS_PER_SECOND = 1000
        val HEADERS_TOO_MANY = HttpStatusCode(431, "Request Header Fields Too Large")
    }
}

/** Closes a connection on which nothing was sent or received for too long. */
private class CloseWhenIdle : ChannelDuplexHandler() {
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent) context.close() else super.userEventTriggered(context, event)
    }
}
