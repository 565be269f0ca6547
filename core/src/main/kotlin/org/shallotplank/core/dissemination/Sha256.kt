package org.shallotplank.core.dissemination

import kotlinx.serialization.Serializable
import org.shallotplank.core.execution.sha256Hex

/** SHA-256 of a text in UTF-8, in lower-case hexadecimal. */
@Serializable
@JvmInline
public value class Sha256(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Hashes [content]. */
        public fun of(content: String): Sha256 = Sha256(sha256Hex(content))
    }
}
