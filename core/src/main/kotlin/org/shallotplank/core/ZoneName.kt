package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Name of an availability zone, such as `north-1`. */
@Serializable
@JvmInline
public value class ZoneName(public val value: String) {
    override fun toString(): String = value
}
