package org.shallotplank.config

/**
 * One fault in a file, with its location and the expected value.
 *
 * Secrets are never part of [found]. [line] and [column] count from 1. If the fault has no
 * position, such as a missing table, [line] is 0 and is left out of the printed form.
 */
public data class Finding(
    val file: String,
    val line: Int,
    val column: Int,
    /** Dotted path of the key, such as `limits.max_queued`. */
    val key: String,
    val expected: String,
    val found: String
) {
    /** The form that commands print: `file:line: key: expected X, found Y`. */
    override fun toString(): String {
        val location = if (line > 0) "$file:$line" else file
        return "$location: $key: expected $expected, found $found"
    }
}
