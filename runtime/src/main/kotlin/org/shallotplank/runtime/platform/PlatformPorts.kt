package org.shallotplank.runtime.platform

import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.Instance

/** Outcome of a read of one key of the table. */
public sealed interface TableRead {
    /** The key holds [value] at [version]; an absent key has version 0 and a null value. */
    public data class Found(val version: Long, val value: String?) : TableRead

    /** No answer in time, or an error. */
    public data object Unavailable : TableRead
}

/** Outcome of a conditional write of one key of the table. */
public sealed interface TableWrite {
    /** The write took effect; the key is now at [version]. */
    public data class Written(val version: Long) : TableWrite

    /** The key is at [version], not the expected one, and holds [value], null when absent. */
    public data class Conflict(val version: Long, val value: String?) : TableWrite

    /** No answer in time, or an error; the write may have taken effect or may still do so. */
    public data object Unknown : TableWrite
}

/**
 * A conditional write of one key.
 *
 * [value] is written only if the key is at [expectedVersion]; 0 means that the key is absent.
 */
public data class TableItem(val key: String, val expectedVersion: Long, val value: String)

/** Operations of the platform; each is one call and may fail at any time. */
public class PlatformPorts(
    public val readItem: suspend (key: String) -> TableRead,
    public val writeItem: suspend (item: TableItem) -> TableWrite,
    /** Returns the object, or null on any failure. */
    public val readObject: suspend (name: String) -> String?,
    /** Returns true only if the platform confirmed that it stored the object. */
    public val writeObject: suspend (name: String, content: String) -> Boolean,
    /** Returns the instance list, or null on any failure. */
    public val listInstances: suspend () -> PersistentList<Instance>?
)
