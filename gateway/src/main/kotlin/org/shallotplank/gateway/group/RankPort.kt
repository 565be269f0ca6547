package org.shallotplank.gateway.group

import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport

/** The upstream id of a rank and its network address. */
public data class RankAddress(val id: InstanceId, val address: Address)

/** How often a rank's requests selected each expert up to [step], ordered by layer. */
public class RankCounts(
    public val epoch: Long,
    public val step: Long,
    public val counts: PersistentList<Long>
)

/** The experts that a rank holds, by layer, under [version] of the map. */
public class RankExperts(
    public val epoch: Long,
    public val version: Long,
    public val experts: PersistentList<PersistentList<Int>>
)

/**
 * Client of the engines of rank groups.
 *
 * Reads return null if there is no usable answer, which the implementation logs.
 */
public interface RankPort {
    public suspend fun report(rank: RankAddress): RankReport?

    public suspend fun counts(rank: RankAddress): RankCounts?

    public suspend fun experts(rank: RankAddress): RankExperts?

    public suspend fun sendOrder(
        rank: RankAddress,
        order: RankOrder,
        epoch: Long,
        fence: Long
    ): OrderOutcome

    /**
     * Sends an order on behalf of the keeper of another entry, on a connection of its own straight
     * to the rank.
     */
    public suspend fun sendDelegatedOrder(
        rank: RankAddress,
        order: RankOrder,
        epoch: Long,
        fence: Long
    ): OrderOutcome

    /** Closes the connections to ranks that are not among [ranks]. */
    public fun keepOnly(ranks: Set<RankAddress>)
}
