package org.shallotplank.gateway.upstream

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Copies the end-to-end headers.
 *
 * Leaves out the hop-by-hop headers and those that the header Connection names.
 */
internal fun copyEndToEnd(from: HttpHeaders, to: HttpHeaders) {
    val named = from.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    for ((name, value) in from) {
        val lower = name.lowercase()
        if (lower !in HOP_BY_HOP && lower !in named) to.add(name, value)
    }
}

private val HOP_BY_HOP = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect"
)
