package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Version of the published configuration; increases by one with each publication, 0 means none. */
@Serializable
@JvmInline
public value class ConfigurationVersion(public val value: Long) :
    Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The version before anything was published. */
        public val None: ConfigurationVersion = ConfigurationVersion(0)
    }
}
