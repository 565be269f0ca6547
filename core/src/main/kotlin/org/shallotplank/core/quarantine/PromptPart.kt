package org.shallotplank.core.quarantine

import kotlinx.serialization.Serializable

/** Identifier of one part of a prompt; requests whose prompts have the part in common share it. */
@Serializable
@JvmInline
public value class PromptPart(public val value: String) {
    override fun toString(): String = value
}
