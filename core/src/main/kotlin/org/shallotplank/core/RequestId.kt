package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Identifier of one request from a caller; a retry by the caller gets a new one. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
