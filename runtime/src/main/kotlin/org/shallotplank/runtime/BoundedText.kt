package org.shallotplank.runtime

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readRemaining
import java.io.IOException
import kotlinx.io.readByteArray

/**
 * Reads the body as text; throws an IOException if it has more than [maxBytes].
 *
 * The client must not have read the body already, as it does unless the request is executed as a
 * prepared statement.
 */
internal suspend fun HttpResponse.textUpTo(maxBytes: Long): String {
    val bytes = bodyAsChannel().readRemaining(maxBytes + 1).readByteArray()
    if (bytes.size > maxBytes) throw IOException("expected at most $maxBytes bytes from $call")
    return bytes.decodeToString()
}
