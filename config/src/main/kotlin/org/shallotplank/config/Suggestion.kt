package org.shallotplank.config

private const val MAX_DISTANCE = 3

/** The name in [known] that is most similar to [word]; null if none is similar enough. */
internal fun nearest(word: String, known: Iterable<String>): String? =
    known.firstOrNull { it.startsWith("${word}_") } ?: nearestByEdits(word, known)

private fun nearestByEdits(word: String, known: Iterable<String>): String? = known
    .map { it to editDistance(word, it) }
    .filter { (candidate, distance) -> distance <= minOf(MAX_DISTANCE, candidate.length / 2) }
    .minByOrNull { (_, distance) -> distance }
    ?.first

/** Levenshtein distance: insertions, deletions and replacements that turn [from] into [to]. */
private fun editDistance(from: String, to: String): Int {
    var previous = IntArray(to.length + 1) { it }
    for (i in from.indices) {
        val current = IntArray(to.length + 1)
        current[0] = i + 1
        for (j in to.indices) {
            val replaced = previous[j] + if (from[i] == to[j]) 0 else 1
            current[j + 1] = minOf(replaced, previous[j + 1] + 1, current[j] + 1)
        }
        previous = current
    }
    return previous[to.length]
}
