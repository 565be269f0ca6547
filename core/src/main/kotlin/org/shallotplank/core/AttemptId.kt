package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Identifier of one attempt to run a request on one upstream; never reused. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}
