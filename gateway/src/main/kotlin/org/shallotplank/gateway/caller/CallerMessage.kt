package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A request that was read whole; [body] is released with the exchange that it belongs to. */
internal class CallerMessage(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf
)
