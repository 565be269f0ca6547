package org.shallotplank.core.membership

import org.shallotplank.core.InstanceId
import org.shallotplank.core.mix
import org.shallotplank.core.stableHash

/** An instance with the hash of its id, computed once for use in many pairs. */
internal class Hashed<T>(val item: T, id: InstanceId) {
    private val hash = stableHash(id.value)

    /** Returns the rendezvous weight of the pair of this and [other]; symmetric. */
    fun weight(other: Hashed<*>): Long = mix(hash xor other.hash)
}

/** Returns the [count] items of [candidates] with the highest weight for [self], highest first. */
internal fun <T> rendezvous(
    self: Hashed<*>,
    candidates: List<Hashed<T>>,
    count: Int
): List<Hashed<T>> {
    if (count <= 0) return emptyList()
    return candidates.sortedByDescending { self.weight(it) }.take(count)
}
