package org.shallotplank.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId

/** Sizes of the subset of a service's upstreams that one entry sends requests to. */
public data class CandidateBounds(
    /** Upstreams that each entry chooses by rendezvous weight. */
    val upstreamsPerEntry: Int = 8,
    /** Smallest number of entries that use each upstream, if there are that many entries. */
    val entriesPerUpstream: Int = 4
)

/**
 * Chooses the upstreams of one service that an entry sends requests to.
 *
 * Each entry chooses the upstreams with the highest rendezvous weight for itself, and also each
 * upstream for which the entry is among the entries with the highest weight. If all entries know
 * the same instances, at least [CandidateBounds.entriesPerUpstream] entries therefore use each
 * upstream, without any exchange of messages. An entry chooses only upstreams of its own region,
 * unless the region has none.
 */
public class CandidateSelection(private val bounds: CandidateBounds = CandidateBounds()) {
    /** Returns those [upstreams] that [self], one of [entries], sends requests to. */
    public fun candidates(
        self: Instance,
        entries: Iterable<Instance>,
        upstreams: Iterable<Instance>
    ): PersistentList<Instance> {
        val regional = upstreams.filter { it.region == self.region }
        if (regional.isEmpty()) return chosen(self, entries.toList(), upstreams.toList())
        return chosen(self, entries.filter { it.region == self.region }, regional)
    }

    private fun chosen(
        self: Instance,
        entries: List<Instance>,
        upstreams: List<Instance>
    ): PersistentList<Instance> {
        val hashedSelf = Hashed(self, self.id)
        val hashedEntries = entries.map { Hashed(it, it.id) }
        val hashedUpstreams = upstreams.map { Hashed(it, it.id) }
        val ids = rendezvous(hashedSelf, hashedUpstreams, bounds.upstreamsPerEntry)
            .mapTo(HashSet<InstanceId>()) { it.item.id }
        hashedUpstreams
            .filter { isAmongBest(hashedSelf, hashedEntries, it) }
            .mapTo(ids) { it.item.id }
        return upstreams.filter { it.id in ids }.toPersistentList()
    }

    /** Returns whether [self] is among the entries with the highest weight for [upstream]. */
    private fun isAmongBest(
        self: Hashed<Instance>,
        entries: List<Hashed<Instance>>,
        upstream: Hashed<Instance>
    ): Boolean {
        val own = upstream.weight(self)
        return entries.count { upstream.weight(it) > own } < bounds.entriesPerUpstream
    }
}
