package org.shallotplank.core.placement

import kotlinx.serialization.Serializable

/** Fencing number of a lease; each new holder gets a higher one, 0 means none. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** No lease; lower than the number of any lease. */
        public val None: FencingNumber = FencingNumber(0)
    }
}
