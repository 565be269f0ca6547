package org.shallotplank.gateway.caller

import org.shallotplank.core.work.RequestSize

/**
 * Parses what a caller stated about the size of its request.
 *
 * Values that are no numbers, negative or above [MAX_TOKENS] count as not stated: they only serve
 * an estimate, and a wrong one must not reject the request.
 *
 * @param tokenCounts `PROMPT,MAX_OUTPUT`, in tokens.
 */
internal fun requestSizeOf(tokenCounts: String?, lengthHint: String?): RequestSize {
    val counts = tokenCounts?.split(',', limit = COUNTS)
    return RequestSize(
        promptTokens = tokensOf(counts?.getOrNull(0)),
        maxOutputTokens = tokensOf(counts?.getOrNull(1)),
        hintTokens = tokensOf(lengthHint)
    )
}

private fun tokensOf(value: String?): Int? =
    value?.trim()?.toIntOrNull()?.takeIf { it in 1..MAX_TOKENS }

private const val COUNTS = 2

/** More than any engine holds. */
private const val MAX_TOKENS = 10_000_000
