package org.shallotplank.core.routing

import kotlinx.serialization.Serializable

/** Hash of a prompt prefix, by which engines identify the prefixes that they have cached. */
@Serializable
@JvmInline
public value class PrefixFingerprint(public val value: String) {
    override fun toString(): String = value
}
