package org.shallotplank.gateway.group

import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport

/** A rank as it is reached over the network. */
public data class RankAddress(val id: InstanceId, val address: Address)

/** Counts of a rank: how often its requests chose each expert, layer after layer, up to [step]. */
public class RankCounts(
    public val epoch: Long,
    public val step: Long,
    public val counts: PersistentList<Long>
)

/** The experts of a rank by layer, under [version] of the map. */
public class RankExperts(
    public val epoch: Long,
    public val version: Long,
    public val experts: PersistentList<PersistentList<Int>>
)

/** Speaks with the engines of rank groups; null stands for no usable answer, which is logged. */
public interface RankPort {
    public suspend fun report(rank: RankAddress): RankReport?

    public suspend fun counts(rank: RankAddress): RankCounts?

    public suspend fun experts(rank: RankAddress): RankExperts?

    public suspend fun give(
        rank: RankAddress,
        order: RankOrder,
        epoch: Long,
        fence: Long
    ): OrderOutcome

    /** Closes the connections to ranks that are not among [ranks]. */
    public fun keepOnly(ranks: Set<RankAddress>)
}
