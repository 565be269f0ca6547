package org.shallotplank.config

import kotlinx.collections.immutable.PersistentList

/** Result of reading files: either a complete value, or all findings. */
public sealed interface Reading<out T> {
    /** The files have no faults and contain [value]. */
    public data class Accepted<out T>(val value: T) : Reading<T>

    /**
     * The files have faults, and nothing may be put in force.
     *
     * [findings] is not empty and is sorted by file and line.
     */
    public data class Rejected(val findings: PersistentList<Finding>) : Reading<Nothing>
}
