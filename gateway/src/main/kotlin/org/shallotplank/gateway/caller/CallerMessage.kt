package org.shallotplank.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A complete request; [body] is released with its exchange. */
internal class CallerMessage(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf
)
