package org.shallotplank.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceRole

/**
 * Numbers of peers that a process chooses in its zone, in its region and in other regions.
 *
 * If its zone has fewer than [sameZone], it chooses more from the other zones of its region.
 */
public data class PeerQuotas(
    val sameZone: Int = 6,
    val sameRegion: Int = 3,
    val otherRegions: Int = 1
)

/**
 * Chooses a bounded set of entries to exchange messages with, by rendezvous hashing.
 *
 * The choice within each distance depends only on the ids, so adding or removing an instance
 * changes only the sets that contain it. Entries also exchange messages with the entries that chose
 * them, which makes the graph symmetric.
 */
public class PeerSelection(private val quotas: PeerQuotas = PeerQuotas()) {
    /** Returns the peers of [self] among [instances]. */
    public fun peers(self: Instance, instances: Iterable<Instance>): PersistentList<Instance> {
        val others = instances
            .filter { it.role == InstanceRole.ENTRY && it.id != self.id }
            .map { Hashed(it, it.id) }
        val sameZone = others.filter { it.item.zone == self.zone }
        val sameRegion = others.filter { it.item.isElsewhereInRegionOf(self) }
        val otherRegions = others.filter { it.item.region != self.region }
        val origin = Hashed(self, self.id)
        val near = rendezvous(origin, sameZone, quotas.sameZone)
        val regionCount = quotas.sameZone + quotas.sameRegion - near.size
        val regional = rendezvous(origin, sameRegion, regionCount)
        val far = rendezvous(origin, otherRegions, quotas.otherRegions)
        return (near + regional + far).map { it.item }.toPersistentList()
    }

    private fun Instance.isElsewhereInRegionOf(self: Instance): Boolean =
        region == self.region && zone != self.zone
}
