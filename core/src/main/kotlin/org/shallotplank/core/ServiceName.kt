package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Name of a service, as written in its service file, such as `order-app`. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}
