package org.shallotplank.gateway.group

import kotlin.time.Clock
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.shallotplank.core.expertmap.GroupKeeper
import org.shallotplank.core.expertmap.GroupKeeperEffect
import org.shallotplank.core.expertmap.GroupKeeperEvent
import org.shallotplank.core.expertmap.KeeperStage
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.on
import org.shallotplank.core.gateway.StreamPauses
import org.shallotplank.core.log.LogRecord
import org.shallotplank.gateway.peer.DelegatedHold

/** Runs the reducer of one group's keeper and performs its effects. */
internal class RunningKeeper(
    initial: GroupKeeper,
    var ranks: Map<Int, RankAddress>,
    private val port: RankPort,
    private val scope: CoroutineScope,
    private val clock: Clock,
    /** Whether the holder of the lease of a term may issue orders now. */
    private val mayIssueOrders: (term: Long) -> Boolean,
    /** Has another entry send a hold. */
    private val delegateHold: suspend (DelegatedHold) -> OrderOutcome,
    private val log: (LogRecord) -> Unit
) {
    /** The state after the last event. */
    var state: GroupKeeper = initial
        private set

    /** The fencing number from the lease; undoing a change increments only that of [state]. */
    var leaseFence: Long = initial.fence
        private set

    private var isEnded = false

    /** The term of the lease under which the keeper issues orders. */
    val term: Long get() = GroupLease.termOf(leaseFence)

    /** Whether the map is known and no change of it is in progress. */
    val isSettled: Boolean get() = state.stage is KeeperStage.Settled && !state.isFenced

    /** Whether a change is at a stage at which the group may be held. */
    val isHolding: Boolean get() = isChanging && state.stage !is KeeperStage.Preparing

    /** Whether a change is in progress, so that ranks may have received orders of it. */
    val isChanging: Boolean
        get() = when (state.stage) {
            is KeeperStage.Settled, is KeeperStage.Surveying, is KeeperStage.ReadingMap,
            is KeeperStage.Superseding -> false
            else -> !state.isFenced
        }

    /**
     * Continues under [fence] if it is higher and no order with the current one can be in flight.
     *
     * @return whether the keeper continues under [fence].
     */
    fun continueUnder(fence: Long): Boolean {
        if (!isSettled || fence <= state.fence) return false
        state = state.copy(fence = fence)
        leaseFence = fence
        return true
    }

    /** Whether the keeper may begin a change. */
    fun allowPlanning(isAllowed: Boolean) {
        if (isAllowed != state.mayPlan) reduce(GroupKeeperEvent.PlanningChanged(isAllowed))
    }

    /** Stops the keeper; answers that are still in flight cause no further orders. */
    fun end() {
        isEnded = true
    }

    /** Sends [pauses], if they changed, and [GroupKeeperEvent.Tick] to the reducer. */
    fun tick(now: Instant, pauses: StreamPauses?) {
        if (pauses != state.pauses) reduce(GroupKeeperEvent.PausesObserved(pauses), now)
        reduce(GroupKeeperEvent.Tick, now)
    }

    private fun reduce(event: GroupKeeperEvent, now: Instant = clock.now()) {
        if (isEnded) return
        val step = state.on(event, now)
        state = step.state
        step.effects.forEach(::perform)
    }

    private fun perform(effect: GroupKeeperEffect) {
        when (effect) {
            is GroupKeeperEffect.Log -> log(effect.record)
            is GroupKeeperEffect.ReadReport -> callRank(effect.rank) { address ->
                port.report(address)?.let { GroupKeeperEvent.Reported(effect.rank, it) }
            }
            is GroupKeeperEffect.ReadCounts -> callRank(effect.rank) { address ->
                port.counts(address)?.let {
                    GroupKeeperEvent.Counted(effect.rank, it.epoch, it.step, it.counts)
                }
            }
            is GroupKeeperEffect.ReadMap -> callRank(effect.rank) { address ->
                port.experts(address)?.let {
                    GroupKeeperEvent.Listed(effect.rank, it.epoch, it.version, it.experts)
                }
            }
            is GroupKeeperEffect.SendOrder -> if (mayIssueOrders(term)) sendOrder(effect)
        }
    }

    private fun sendOrder(effect: GroupKeeperEffect.SendOrder) = callRank(effect.rank) { address ->
        val hold = (effect.order as? RankOrder.Hold)?.takeIf { effect.isDelegated }
        val outcome = if (hold == null) {
            port.sendOrder(address, effect.order, effect.epoch, effect.fence)
        } else {
            delegateHold(delegated(hold, address, effect))
        }
        GroupKeeperEvent.Answered(effect.rank, effect.epoch, effect.fence, effect.order, outcome)
    }

    private fun delegated(
        hold: RankOrder.Hold,
        rank: RankAddress,
        effect: GroupKeeperEffect.SendOrder
    ) = DelegatedHold(rank.id.value, "${rank.address}", hold.step, effect.epoch, effect.fence)

    private fun callRank(rank: Int, call: suspend (RankAddress) -> GroupKeeperEvent?) {
        val address = ranks[rank] ?: return
        scope.launch { call(address)?.let { reduce(it) } }
    }
}
