package org.shallotplank.gateway.upstream

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpVersion
import org.shallotplank.core.gateway.GatewayEffect
import org.shallotplank.gateway.Exchange
import org.shallotplank.gateway.HeaderNames

/**
 * Builds the request of [exchange] that is sent to the upstream of [send].
 *
 * Method, target, body and end-to-end headers are those of the caller; the message framing is new.
 * If events of a stream were already sent to the caller, the request carries the id of the last
 * one, so that the upstream resumes the stream after it.
 */
internal fun forwardedRequest(
    exchange: Exchange,
    send: GatewayEffect.Send,
    names: HeaderNames
): FullHttpRequest {
    val message = exchange.message
    val body = message.body
    val content = if (body.isReadable) body.retainedDuplicate() else Unpooled.EMPTY_BUFFER
    val request =
        DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method, message.uri, content)
    val headers = request.headers()
    copyEndToEnd(message.headers, headers)
    val hadBody = message.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        message.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    headers
        .remove(HttpHeaderNames.CONTENT_LENGTH)
        .remove(names.credential)
        .remove(names.customer)
        .set(names.expectedUpstream, send.upstream.id.value)
        .set(names.timeLeftMillis, send.timeLeft.inWholeMilliseconds.coerceAtLeast(1))
        .set(names.requestPriority, send.priority.coerceIn(REQUEST_PRIORITIES))
    if (hadBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    send.customer?.let { headers.set(names.customer, it.value) }
    exchange.lastEventId?.let { headers.set(names.lastEventId, it) }
    return request
}

/** Priorities that engines accept; 0 is the most urgent. */
private val REQUEST_PRIORITIES = 0..9
