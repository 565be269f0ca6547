package org.shallotplank.core

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate

/** Removes the entries with a time before [oldest]; returns this map when there are none. */
internal fun <K> PersistentMap<K, Instant>.withoutEntriesBefore(
    oldest: Instant
): PersistentMap<K, Instant> {
    if (values.none { it < oldest }) return this
    return mutate { map -> map.entries.removeIf { it.value < oldest } }
}
