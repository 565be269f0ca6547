package org.shallotplank.core.membership

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState
import org.shallotplank.core.Step
import org.shallotplank.core.then

private typealias MembershipStep = Step<MembershipState, MembershipEffect>

/**
 * Determines which instances are live from the platform's list, heartbeats and notices.
 *
 * The list, which lags, says which instances exist; heartbeats say which ones can be reached. An
 * instance that sends heartbeats stays live even if the list lacks it. An instance without
 * heartbeats is suspected after the suspicion timeout and is gone only if the list lacks it too, so
 * a network partition between regions removes no instance. Leaving applies to one incarnation, so
 * that a late notice about an old incarnation does not affect the next one.
 */
public class Membership(private val settings: MembershipSettings = MembershipSettings()) {
    /** Applies [event] to [state] and returns the new state with the changes as effects. */
    public fun reduce(
        state: MembershipState,
        event: MembershipEvent
    ): Step<MembershipState, MembershipEffect> =
        MembershipStep(extendContactsBySuspension(state, event.now)).then {
            when (event) {
                is MembershipEvent.Tick -> tick(it, event.now)
                is MembershipEvent.ListRead -> readList(it, event)
                is MembershipEvent.HeartbeatReceived -> receiveHeartbeat(it, event)
                is MembershipEvent.LeavingNoticed -> receiveLeavingNotice(it, event)
            }
        }

    private fun tick(state: MembershipState, now: Instant): MembershipStep {
        val remaining = state.members.values.filter { isForgotten(it, now) }
            .fold(state.members) { members, member -> members.remove(member.id) }
        return updateAll(state.copy(members = remaining), state.members.values, now)
    }

    private fun readList(state: MembershipState, event: MembershipEvent.ListRead): MembershipStep {
        val listed = event.instances.associateBy { it.id }
        val known = state.members.values
            .filter { it.id !in listed }
            .map { it.copy(isListed = false) }
        val updated = event.instances.map {
            withListing(state.members[it.id] ?: Member(it.id), it)
        }
        return updateAll(state, known + updated, event.now)
    }

    /**
     * Returns [member] updated from [instance], as the list has it.
     *
     * Marks the known incarnation as leaving only when the listed state changes to
     * [InstanceState.LEAVING]. The list lags, so an unchanged state may refer to an incarnation
     * that has been replaced since.
     */
    private fun withListing(member: Member, instance: Instance): Member {
        val isNewlyLeaving = instance.state == InstanceState.LEAVING && !member.isListedAsLeaving
        val leaving = if (isNewlyLeaving) member.incarnation else -1
        return member.copy(
            instance = instance,
            isListed = true,
            leavingIncarnation = maxOf(member.leavingIncarnation, leaving)
        )
    }

    private fun receiveHeartbeat(
        state: MembershipState,
        event: MembershipEvent.HeartbeatReceived
    ): MembershipStep {
        val known = state.members[event.id] ?: Member(event.id)
        if (event.incarnation < known.incarnation) return MembershipStep(state)
        val isFirst = known.incarnation == 0L
        val isLeaving = event.isLeaving || isFirst && known.isListedAsLeaving
        val leaving = if (isLeaving) event.incarnation else -1
        val contacted = known.copy(
            incarnation = event.incarnation,
            leavingIncarnation = maxOf(known.leavingIncarnation, leaving),
            lastContactAt = event.now
        )
        val restarted = MembershipEffect.Restarted(event.id, event.incarnation)
        val effects =
            if (!isFirst && event.incarnation > known.incarnation) listOf(restarted) else listOf()
        return MembershipStep(state, effects.toPersistentList())
            .then { updateAll(it, listOf(contacted), event.now) }
    }

    private fun receiveLeavingNotice(
        state: MembershipState,
        event: MembershipEvent.LeavingNoticed
    ): MembershipStep {
        val known = state.members[event.id] ?: return MembershipStep(state)
        val leaving = maxOf(known.leavingIncarnation, event.incarnation)
        return updateAll(state, listOf(known.copy(leavingIncarnation = leaving)), event.now)
    }

    /** Stores [members] with their liveness at [now], except those to be forgotten. */
    private fun updateAll(
        state: MembershipState,
        members: Collection<Member>,
        now: Instant
    ): MembershipStep {
        val changes = mutableListOf<MembershipEffect>()
        var selectionChanged = false
        val stored = members.filterNot { isForgotten(it, now) }.fold(state.members) { map, member ->
            val before = map[member.id]
            val after = member.copy(liveness = liveness(member, now))
            if (before?.liveness != after.liveness) {
                changes += changed(member.id, before?.liveness, after.liveness)
            }
            selectionChanged = selectionChanged || before?.selectionKey() != after.selectionKey()
            if (before == after) map else map.put(member.id, after)
        }
        if (selectionChanged) changes += MembershipEffect.SelectionDue
        return MembershipStep(state.copy(members = stored), changes.toPersistentList())
    }

    private fun changed(id: InstanceId, from: Liveness?, to: Liveness): MembershipEffect =
        MembershipEffect.LivenessChanged(id, from, to)

    private fun liveness(member: Member, now: Instant): Liveness {
        val silence = member.lastContactAt?.let { now - it }
        val isSilent = silence == null || silence > settings.suspicionTimeout
        return when {
            isSilent && !member.isListed -> Liveness.GONE
            member.isLeaving -> Liveness.LEAVING
            silence == null -> Liveness.LISTED
            isSilent -> Liveness.SUSPECTED
            else -> Liveness.LIVE
        }
    }

    private fun isForgotten(member: Member, now: Instant): Boolean {
        val silence = member.lastContactAt?.let { now - it } ?: Duration.INFINITE
        return !member.isListed && silence > settings.forgetTimeout
    }

    /**
     * After a suspension of this process, moves the last contact with each member forward by its
     * length, because this process could not receive heartbeats meanwhile.
     */
    private fun extendContactsBySuspension(state: MembershipState, now: Instant): MembershipState {
        val lastEventAt = state.lastEventAt ?: return state.copy(lastEventAt = now)
        val gap = now - lastEventAt
        if (gap <= settings.pauseLimit) return state.copy(lastEventAt = maxOf(now, lastEventAt))
        val shifted = state.members.values.fold(state.members) { members, member ->
            members.put(member.id, member.copy(lastContactAt = member.lastContactAt?.plus(gap)))
        }
        return MembershipState(shifted, now)
    }

    /** The data of a member that the choice of peers and candidates depends on. */
    private fun Member.selectionKey(): Instance? =
        instance?.takeIf { liveness != Liveness.GONE && liveness != Liveness.LEAVING }
}
