package org.shallotplank.runtime.agent

import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareGet
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.Address
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload
import org.shallotplank.runtime.textUpTo

/**
 * Returns ports that call the upstream at [address] over HTTP.
 *
 * `docs/outside-systems.md` describes the protocol.
 */
internal fun httpUpstream(address: Address): UpstreamPorts {
    val upstream = HttpUpstream(address)
    return UpstreamPorts(call = upstream::call, readLoad = upstream::readLoad)
}

/**
 * HTTP client for calls to the upstream.
 *
 * It uses Ktor's engine for the JDK's HTTP client, which reports a truncated chunked answer as an
 * error; Ktor's CIO engine takes such an answer for a complete one. Each call opens its own
 * connection: on a reused one, a refusal before sending could not be distinguished from a loss
 * after sending.
 */
private class HttpUpstream(private val address: Address) {
    init {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "connection")
    }

    private val client = HttpClient(Java) {
        expectSuccess = false
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT.inWholeMilliseconds }
        engine { protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1 }
    }

    suspend fun call(offer: AttemptOffer, sink: AnswerSink): UpstreamEnd = try {
        client.prepareRequest("http://$address${offer.path}") { describe(offer) }
            .execute { answer(it, sink) }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        if (e.isConnectFailure()) UpstreamEnd.NeverSent else UpstreamEnd.Lost
    }

    private fun HttpRequestBuilder.describe(offer: AttemptOffer) {
        method = HttpMethod.parse(offer.method)
        timeout { requestTimeoutMillis = HttpTimeoutConfig.INFINITE_TIMEOUT_MS }
        header(HttpHeaders.Connection, "close")
        header("X-Request-Id", offer.callerRequestId)
        header("X-Priority", offer.priority.name)
        offer.idempotencyKey?.let { header("Idempotency-Key", it) }
        if (offer.lastEventId > 0) header("Last-Event-ID", offer.lastEventId.toString())
        if (offer.body.sizeBytes > 0) {
            val type = offer.contentType?.let { ContentType.parse(it) }
            setBody(ByteArrayContent(offer.body.bytes, type))
        }
    }

    private suspend fun answer(response: HttpResponse, sink: AnswerSink): UpstreamEnd {
        // The engine below accepts any status from 100 to 999.
        if (response.status.value !in STATUSES) return UpstreamEnd.Lost
        val type = response.contentType()
        sink.onHead(AnswerHead(response.status.value, type?.toString()))
        val channel = response.bodyAsChannel()
        val isEventStream = type?.match(ContentType.Text.EventStream) == true
        if (isEventStream) return passEvents(channel, sink)
        return passBody(channel, response.headers[HttpHeaders.ContentLength]?.toLongOrNull(), sink)
    }

    private suspend fun passEvents(channel: ByteReadChannel, sink: AnswerSink): UpstreamEnd {
        val reader = EventStreamReader(channel)
        while (true) {
            val event = reader.next() ?: return UpstreamEnd.Lost
            sink.onChunk(event.id, event.payload)
            if (event.isLast) return UpstreamEnd.Whole
        }
    }

    private suspend fun passBody(
        channel: ByteReadChannel,
        expectedBytes: Long?,
        sink: AnswerSink
    ): UpstreamEnd {
        val buffer = ByteArray(CHUNK_BYTES)
        var receivedBytes = 0L
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) break
            receivedBytes += count
            if (count > 0) sink.onChunk(0, Payload(buffer.copyOf(count)))
        }
        channel.closedCause?.let { return UpstreamEnd.Lost }
        val isTruncated = expectedBytes != null && receivedBytes != expectedBytes
        return if (isTruncated) UpstreamEnd.Lost else UpstreamEnd.Whole
    }

    suspend fun readLoad(): UpstreamLoad? = try {
        client.prepareGet("http://$address/load") {
            timeout { requestTimeoutMillis = LOAD_TIMEOUT.inWholeMilliseconds }
        }.execute { response ->
            val text = response.takeIf { it.status.isSuccess() }?.textUpTo(MAX_LOAD_BYTES)
            text?.let { json.decodeFromString<UpstreamLoad>(it) }
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    private fun Exception.isConnectFailure(): Boolean =
        this is ConnectException || this is ConnectTimeoutException

    private companion object {
        const val CHUNK_BYTES = 32 * 1024
        val STATUSES = 100..599

        /** A load has a few numbers. */
        const val MAX_LOAD_BYTES = 65_536L
        val CONNECT_TIMEOUT: Duration = 1.seconds
        val LOAD_TIMEOUT: Duration = 1.seconds
        val json = Json { ignoreUnknownKeys = true }
    }
}
