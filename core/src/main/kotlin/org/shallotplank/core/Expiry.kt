package org.shallotplank.core

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate

/** The map without entries whose time is before [oldest]; the same map when there are none. */
internal fun <K> PersistentMap<K, Instant>.withoutEntriesBefore(
    oldest: Instant
): PersistentMap<K, Instant> {
    if (values.none { it < oldest }) return this
    return mutate { map -> map.entries.removeIf { it.value < oldest } }
}
