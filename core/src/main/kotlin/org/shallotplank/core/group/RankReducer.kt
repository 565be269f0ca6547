package org.shallotplank.core.group

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.shallotplank.core.Step
import org.shallotplank.core.placement.MapVersion

/**
 * The agent of one rank: translates messages of the agent of rank 0 into orders to its engine.
 *
 * Protects an engine that ignores fencing numbers: messages of a lower incarnation than the highest
 * promised, of another session or of an earlier point of the change do not reach the engine.
 */
public object RankReducer {
    /** Returns the state after [event], which happened at [now], and the effects. */
    public fun reduce(
        state: RankState,
        event: RankEvent,
        now: Instant
    ): Step<RankState, RankEffect> = when (event) {
        is RankEvent.Tick -> heartbeat(state, now)
        is RankEvent.Received -> receive(state, event.message, now)
        is RankEvent.EngineAnswered -> answered(state, event.order, event.answer)
        is RankEvent.OrderExpired -> expired(state, event.order)
        is RankEvent.EngineRestarted -> Step(restartSession(state))
    }

    private fun heartbeat(state: RankState, now: Instant): Step<RankState, RankEffect> {
        if (now < state.silentUntil) return Step(state)
        return state.send(RankMessage.Heartbeat(state.rank, state.session, state.promised))
    }

    private fun receive(
        state: RankState,
        message: SequencerMessage,
        now: Instant
    ): Step<RankState, RankEffect> {
        if (message.session != state.session || now < state.silentUntil) return Step(state)
        if (message.incarnation < state.promised) {
            return state.send(RankMessage.Refused(state.rank, state.session, state.promised))
        }
        val isFollowed = message.incarnation == state.promised && state.progress.held != null
        return when {
            message is SequencerMessage.Prepare -> prepare(state, message)
            !isFollowed -> Step(state)
            message is SequencerMessage.Stage -> stage(state, message)
            message is SequencerMessage.Arm -> arm(state, message)
            message is SequencerMessage.Release -> release(state, message)
            else -> Step(state)
        }
    }

    private fun prepare(
        state: RankState,
        message: SequencerMessage.Prepare
    ): Step<RankState, RankEffect> {
        if (message.incarnation > state.promised) {
            val promising = state.copy(promised = message.incarnation, progress = RankProgress())
            return promising.issue(EngineOrder.Hold(message.incarnation))
        }
        val held = state.progress.held ?: return Step(state)
        return state.send(state.preparedMessage(held))
    }

    private fun stage(
        state: RankState,
        message: SequencerMessage.Stage
    ): Step<RankState, RankEffect> {
        if (message.map.version < state.highestVersion) return Step(state)
        if (message.map.version == state.releasedMap?.version) return Step(state)
        val armedStep = state.progress.armedStep ?: Long.MIN_VALUE
        if (armedStep > state.progress.decidedStep) return Step(state)
        val seen = state.copy(
            highestVersion = message.map.version,
            highestFencing = maxOf(state.highestFencing, message.fencing)
        )
        return seen.issue(EngineOrder.Stage(message.incarnation, message.map))
    }

    private fun arm(state: RankState, message: SequencerMessage.Arm): Step<RankState, RankEffect> {
        if (state.progress.staged?.version != message.version) return Step(state)
        if (message.step <= state.progress.decidedStep) return Step(state)
        return state.issue(
            EngineOrder.Arm(message.incarnation, message.version, message.step)
        )
    }

    private fun release(
        state: RankState,
        message: SequencerMessage.Release
    ): Step<RankState, RankEffect> {
        if (state.progress.releasedStep == message.step) {
            return state.send(state.releasedMessage(message.step))
        }
        if (message.step < state.progress.decidedStep) return Step(state)
        val progress = state.progress.copy(decidedStep = message.step)
        return state.copy(progress = progress).issue(
            EngineOrder.Enter(message.incarnation, message.version, message.step)
        )
    }

    private fun answered(
        state: RankState,
        order: EngineOrder,
        answer: EngineAnswer
    ): Step<RankState, RankEffect> {
        if (order != state.pendingOrder) return Step(state)
        val idle = state.copy(pendingOrder = null)
        if (hasLostMap(idle, order, answer)) return Step(restartSession(idle))
        val recorded = if (order.incarnation == idle.promised) {
            recordAnswer(idle, order, answer)
        } else {
            Step(idle)
        }
        return recorded.andNextOrder()
    }

    /** Whether the engine has restarted since earlier orders, as its lack of a map shows. */
    private fun hasLostMap(state: RankState, order: EngineOrder, answer: EngineAnswer): Boolean {
        if (answer.version != MapVersion.None) return false
        val held = state.progress.held
        return order is EngineOrder.Enter || (held != null && held.version != MapVersion.None)
    }

    private fun recordAnswer(
        state: RankState,
        order: EngineOrder,
        answer: EngineAnswer
    ): Step<RankState, RankEffect> = when (order) {
        is EngineOrder.Hold -> {
            val highest = maxOf(state.highestVersion, answer.version)
            val held = state.copy(
                highestVersion = highest,
                progress = state.progress.copy(held = answer)
            )
            held.send(held.preparedMessage(answer))
        }

        is EngineOrder.Stage ->
            state.copy(progress = state.progress.copy(staged = order.map))
                .send(state.stagedMessage(order, answer))

        is EngineOrder.Arm ->
            state.copy(progress = state.progress.copy(armedStep = order.step))
                .send(state.armedMessage(order, answer))

        is EngineOrder.Enter -> {
            val map = state.progress.staged?.takeIf { it.version == order.version }
            val progress = state.progress.copy(releasedStep = order.step)
            state.copy(releasedMap = map ?: state.releasedMap, progress = progress)
                .send(state.releasedMessage(order.step))
        }
    }

    private fun expired(state: RankState, order: EngineOrder): Step<RankState, RankEffect> {
        if (order != state.pendingOrder) return Step(state)
        val next = state.nextOrder ?: order
        return state.copy(pendingOrder = null, nextOrder = null).issue(next)
    }

    private fun restartSession(state: RankState): RankState = RankState(
        rank = state.rank,
        session = state.session.next(),
        silentUntil = state.silentUntil,
        promised = state.promised,
        highestVersion = state.highestVersion,
        highestFencing = state.highestFencing,
        releasedMap = state.releasedMap
    )

    private fun Step<RankState, RankEffect>.andNextOrder(): Step<RankState, RankEffect> {
        val next = state.nextOrder ?: return this
        val following = state.copy(nextOrder = null).issue(next)
        return Step(following.state, effects + following.effects)
    }

    /** Sends [order] to the engine, or, while another order is pending, makes it the next one. */
    private fun RankState.issue(order: EngineOrder): Step<RankState, RankEffect> {
        if (pendingOrder == order) return Step(copy(nextOrder = null))
        if (pendingOrder != null) return Step(copy(nextOrder = order))
        return Step(copy(pendingOrder = order), effectsOf(RankEffect.Execute(order)))
    }

    private fun RankState.send(message: RankMessage): Step<RankState, RankEffect> =
        Step(this, effectsOf(RankEffect.Send(message)))

    private fun effectsOf(effect: RankEffect): PersistentList<RankEffect> = persistentListOf(effect)

    private fun RankState.preparedMessage(held: EngineAnswer) = RankMessage.Prepared(
        rank = rank,
        session = session,
        incarnation = promised,
        step = held.step,
        highestVersion = highestVersion,
        highestFencing = highestFencing,
        map = releasedMap
    )

    private fun RankState.stagedMessage(order: EngineOrder.Stage, answer: EngineAnswer) =
        RankMessage.Staged(rank, session, promised, order.map.version, answer.step)

    private fun RankState.armedMessage(order: EngineOrder.Arm, answer: EngineAnswer) =
        RankMessage.Armed(rank, session, promised, order.step, answer.step)

    private fun RankState.releasedMessage(step: Long) =
        RankMessage.Released(rank, session, promised, step)
}
