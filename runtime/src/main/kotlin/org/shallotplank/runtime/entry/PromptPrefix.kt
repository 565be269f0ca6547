package org.shallotplank.runtime.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.shallotplank.core.execution.sha256Hex

/**
 * Returns the fingerprint of the prompt prefix in [body].
 *
 * Engines report the prefixes in their caches by the same fingerprint.
 *
 * Returns null when the body is not a JSON object with a prompt, or the prompt is shorter than
 * [PREFIX_CHARS].
 */
internal fun promptPrefix(body: ByteArray): String? {
    if (body.isEmpty()) return null
    val document = try {
        Json.parseToJsonElement(body.decodeToString()) as? JsonObject
    } catch (e: SerializationException) {
        null
    }
    val prompt = (document?.get("prompt") as? JsonPrimitive)?.content ?: return null
    if (prompt.length < PREFIX_CHARS) return null
    return sha256Hex(prompt.take(PREFIX_CHARS)).take(NAME_DIGITS)
}

private const val PREFIX_CHARS = 64
private const val NAME_DIGITS = 16
