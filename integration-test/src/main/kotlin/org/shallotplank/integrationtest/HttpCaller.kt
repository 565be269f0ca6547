package org.shallotplank.integrationtest

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandler
import java.net.http.HttpResponse.BodyHandlers
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.future.await

/** A complete HTTP response. */
internal data class HttpReply(
    val status: Int,
    val body: String,
    /** First value of each header by lower-case name. */
    val headers: Map<String, String> = emptyMap()
) {
    /** Decodes the JSON body as a [T]. */
    inline fun <reified T> json(): T = standInJson.decodeFromString(body)
}

/**
 * HTTP/1.1 client of the tests; follows no redirects.
 *
 * It uses the JDK's client because Ktor's CIO client treats a chunked response that is cut off
 * between two chunks as complete.
 */
internal class HttpCaller(
    private val timeout: Duration = 20.seconds,
    connectTimeout: Duration = 5.seconds
) {
    private val http = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(connectTimeout.toJavaDuration())
        .build()

    /** Sends a request and waits for the complete response; throws if the response is cut off. */
    suspend fun call(
        method: String,
        url: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap()
    ): HttpReply {
        val response = exchange(method, url, body, headers, BodyHandlers.ofString())
        return HttpReply(response.statusCode(), response.body(), response.firstHeaders())
    }

    /** Sends a GET and decodes the response. */
    suspend inline fun <reified T> get(url: String): T = call("GET", url).json()

    /** Sends [body] as JSON. */
    suspend inline fun <reified T> send(
        method: String,
        url: String,
        body: T,
        headers: Map<String, String> = emptyMap()
    ): HttpReply = call(method, url, standInJson.encodeToString(body), headers)

    /** Posts [body] and returns once the response headers have arrived. */
    suspend fun open(
        url: String,
        body: String,
        headers: Map<String, String> = emptyMap()
    ): EventStream {
        val response = exchange("POST", url, body, headers, BodyHandlers.ofInputStream())
        return EventStream(response.statusCode(), response.firstHeaders(), response.body())
    }

    /** Posts [body] and emits the events of the response; throws if the stream is cut off. */
    fun events(
        url: String,
        body: String,
        headers: Map<String, String> = emptyMap()
    ): Flow<ServerSentEvent> = flow {
        open(url, body, headers).use { stream ->
            while (true) emit(stream.next() ?: break)
        }
    }

    private suspend fun <T> exchange(
        method: String,
        url: String,
        body: String?,
        headers: Map<String, String>,
        handler: BodyHandler<T>
    ): HttpResponse<T> {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(timeout.toJavaDuration())
        headers.forEach { (name, value) -> builder.header(name, value) }
        if (body != null) builder.header("Content-Type", "application/json")
        builder.method(method, publisher(body))
        return http.sendAsync(builder.build(), handler).await()
    }

    private fun publisher(body: String?): HttpRequest.BodyPublisher = if (body == null) {
        HttpRequest.BodyPublishers.noBody()
    } else {
        HttpRequest.BodyPublishers.ofString(body)
    }
}

private fun HttpResponse<*>.firstHeaders(): Map<String, String> =
    headers().map().entries.associate { (name, values) -> name.lowercase() to values.first() }
