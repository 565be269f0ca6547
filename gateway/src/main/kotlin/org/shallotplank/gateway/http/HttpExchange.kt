package org.shallotplank.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** A small request to one of the system's own interfaces or to the store. */
public class HttpCall(
    public val method: String,
    public val path: String,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = JSON,
    public val headers: List<Pair<String, String>> = emptyList()
) {
    internal fun message(host: String): FullHttpRequest {
        val content = Unpooled.wrappedBuffer(body)
        val request =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content)
        request.headers().set(HttpHeaderNames.HOST, host)
        if (body.isNotEmpty() || method != "GET") {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        }
        headers.forEach { (name, value) -> request.headers().set(name, value) }
        return request
    }

    public companion object {
        public const val JSON: String = "application/json"
        public const val CBOR: String = "application/cbor"
        public const val TEXT: String = "text/plain; version=0.0.4; charset=utf-8"
    }
}

/** A complete answer of the store or of one of the system's own interfaces. */
public class HttpReply(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = HttpCall.JSON,
    private val headers: List<Pair<String, String>> = emptyList()
) {
    /** The first value of the header [name] in any case, or null. */
    public fun header(name: String): String? =
        headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    internal fun message(): FullHttpResponse {
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            content
        )
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        if (body.isNotEmpty()) response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        return response
    }
}
