package org.shallotplank.gateway.caller

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.quarantine.PromptPart

/**
 * Parses the parts of a prompt that requests may share from header [values] of `id:tokens` entries.
 *
 * The last part is left out: it belongs to the request itself or to its session. Entries beyond
 * [MAX_PARTS] and ids longer than [MAX_ID_LENGTH] are ignored, which bounds the memory per request.
 */
internal fun sharedPartsOf(values: List<String>): PersistentSet<PromptPart> = values
    .flatMap { it.split(',') }
    .map { it.substringBefore(':').trim().lowercase() }
    .filter { it.isNotEmpty() }
    .dropLast(1)
    .take(MAX_PARTS)
    .filter { it.length <= MAX_ID_LENGTH }
    .map(::PromptPart)
    .toPersistentSet()

private const val MAX_PARTS = 32
private const val MAX_ID_LENGTH = 64
