package org.shallotplank.config

import org.tomlj.TomlPosition

/** Location of a key or table in a file; line and column are 0 if the key or table is absent. */
internal data class SourceLocation(val file: String, val line: Int = 0, val column: Int = 0) {
    constructor(file: String, position: TomlPosition?) :
        this(file, position?.line() ?: 0, position?.column() ?: 0)

    override fun toString(): String = if (line > 0) "$file:$line" else file
}

/** A value with the location that it was read from. */
internal data class Located<out T>(val value: T, val location: SourceLocation)
