package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Identifier of one process of the system or of one upstream; the same after a restart. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}
