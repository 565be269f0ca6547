package org.shallotplank.core.placement

import kotlinx.serialization.Serializable

/** Version of a group's expert map; increases with each map that is staged, 0 means no map. */
@Serializable
@JvmInline
public value class MapVersion(public val value: Long) : Comparable<MapVersion> {
    /** The version after this one. */
    public fun next(): MapVersion = MapVersion(value + 1)

    override fun compareTo(other: MapVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The version of an engine that holds no map. */
        public val None: MapVersion = MapVersion(0)
    }
}
