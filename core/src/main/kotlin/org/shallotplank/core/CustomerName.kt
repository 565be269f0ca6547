package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Name of a customer, as written in the customers file. */
@Serializable
@JvmInline
public value class CustomerName(public val value: String) {
    override fun toString(): String = value
}
