package org.shallotplank.core.group

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.FencingNumber
import org.shallotplank.core.placement.LayerPlacement

private const val RANKS = 3
private const val MAX_IN_FLIGHT = 80
private val orderLifetime = 1.seconds

/** A rank group with its agents, sequencers and engines; the test controls the network's faults. */
internal class GroupSimulation {
    private class Sequencer(var state: SequencerState, var isPaused: Boolean = false)

    private class Agent(var state: RankState, var isPaused: Boolean = false)

    private class PendingOrder(
        val rank: Int,
        val agent: Agent,
        val engineRestarts: Int,
        val order: EngineOrder,
        val expiresAt: Instant
    )

    private sealed interface Envelope {
        data class ToRank(val rank: Int, val message: SequencerMessage) : Envelope

        data class ToSequencer(val sequencer: Sequencer, val message: RankMessage) : Envelope
    }

    private var now = Instant.fromEpochSeconds(1_000)
    private var nextId = 1L
    private var nextMap = 1
    private val history = StepHistory(RANKS)
    private val engines = List(RANKS) { FakeEngine(it, history) }
    private val agents = MutableList(RANKS) { newAgent(it) }
    private val sequencers = mutableListOf(newSequencer())
    private val network = mutableListOf<Envelope>()
    private val orders = mutableListOf<PendingOrder>()
    private var leaseHolder = 1L
    var applied = 0
        private set
    val violation: String? get() = history.violation
    val lowestStep: Long get() = engines.minOf { it.step }

    fun restartAgent(rank: Int) {
        agents[rank] = newAgent(rank)
        if (rank == 0) replaceSequencer(keepsOld = false)
    }

    fun restartEngine(rank: Int) = engines[rank].restart()

    fun noticeEngineRestart(rank: Int) = dispatch(rank, RankEvent.EngineRestarted)

    fun replaceSequencer(keepsOld: Boolean) {
        if (!keepsOld) sequencers.clear()
        sequencers += newSequencer()
        if (sequencers.size > 2) sequencers.removeFirst()
    }

    fun togglePause(index: Int) {
        if (index < RANKS) {
            agents[index].isPaused = !agents[index].isPaused
        } else {
            sequencers.first().let { it.isPaused = !it.isPaused }
        }
    }

    fun propose(isStale: Boolean, acquires: Boolean) {
        if (acquires) leaseHolder++
        val fencing = FencingNumber(if (isStale) leaseHolder - 1 else leaseHolder)
        val map = mapOf(nextMap++)
        val id = ProposalId("decision maker", nextId++)
        sequencers.filterNot { it.isPaused }.forEach {
            val base = it.state.map?.version ?: return@forEach
            dispatch(it, SequencerEvent.Proposed(Proposal(id, fencing, base, map)))
        }
    }

    fun advanceTime(duration: Duration) {
        now += duration
        orders.filter { it.expiresAt <= now }.forEach { expired ->
            orders.remove(expired)
            if (agents[expired.rank] === expired.agent) {
                dispatch(expired.rank, RankEvent.OrderExpired(expired.order))
            }
        }
    }

    /** Runs [count] events that [random] draws, with lost, repeated and reordered messages. */
    fun runRandomEvents(random: Random, count: Int) = repeat(count) {
        when (random.nextInt(12)) {
            in 0..3 -> deliver(random, keeps = false)
            4 -> deliver(random, keeps = true)
            5 -> if (network.isNotEmpty()) network.removeAt(random.nextInt(network.size))
            in 6..7 -> execute(random, answers = true)
            8 -> execute(random, answers = random.nextBoolean())
            9 -> tick(random.nextInt(RANKS + sequencers.size))
            else -> engines[random.nextInt(RANKS)].advance()
        }
    }

    /** Runs [rounds] rounds in which all messages and answers arrive in order and in time. */
    fun runWithoutFaults(rounds: Int) = repeat(rounds) {
        repeat(RANKS + sequencers.size) { tick(it) }
        repeat(3) {
            val random = Random(0)
            repeat(network.size) { deliverAt(0) }
            repeat(orders.size) { execute(random, answers = true) }
            engines.forEach { it.advance() }
        }
        advanceTime(50.milliseconds)
    }

    fun endFaults() {
        while (sequencers.size > 1) sequencers.removeFirst()
        sequencers.forEach { it.isPaused = false }
        agents.forEach { it.isPaused = false }
        repeat(RANKS) { noticeEngineRestart(it) }
        network.clear()
    }

    private fun deliver(random: Random, keeps: Boolean) {
        if (network.isEmpty()) return
        val index = random.nextInt(network.size)
        if (keeps) network += network[index]
        deliverAt(index)
    }

    private fun deliverAt(index: Int) {
        if (index >= network.size) return
        when (val envelope = network.removeAt(index)) {
            is Envelope.ToRank ->
                if (agents[envelope.rank].isPaused) {
                    network += envelope
                } else {
                    dispatch(envelope.rank, RankEvent.Received(envelope.message))
                }

            is Envelope.ToSequencer ->
                if (envelope.sequencer.isPaused) {
                    network += envelope
                } else {
                    dispatch(envelope.sequencer, SequencerEvent.Received(envelope.message))
                }
        }
    }

    private fun execute(random: Random, answers: Boolean) {
        if (orders.isEmpty()) return
        val pending = orders[random.nextInt(orders.size)]
        if (pending.engineRestarts != engines[pending.rank].restarts) return
        val answer = engines[pending.rank].execute(pending.order)
        if (!answers) return
        orders.remove(pending)
        if (agents[pending.rank] === pending.agent) {
            dispatch(pending.rank, RankEvent.EngineAnswered(pending.order, answer))
        }
    }

    private fun tick(index: Int) {
        if (index < RANKS) {
            if (!agents[index].isPaused) dispatch(index, RankEvent.Tick)
        } else {
            sequencers.getOrNull(index - RANKS)?.takeUnless { it.isPaused }
                ?.let { dispatch(it, SequencerEvent.Tick) }
        }
    }

    private fun dispatch(rank: Int, event: RankEvent) {
        val agent = agents[rank]
        val step = RankReducer.reduce(agent.state, event, now)
        agent.state = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is RankEffect.Execute ->
                    orders += PendingOrder(
                        rank = rank,
                        agent = agent,
                        engineRestarts = engines[rank].restarts,
                        order = effect.order,
                        expiresAt = now + orderLifetime
                    )

                is RankEffect.Send ->
                    sequencers.forEach { enqueue(Envelope.ToSequencer(it, effect.message)) }
            }
        }
    }

    private fun dispatch(sequencer: Sequencer, event: SequencerEvent) {
        val step = SequencerReducer.reduce(sequencer.state, event, now)
        sequencer.state = step.state
        applied += step.effects.count {
            it is SequencerEffect.Answer && it.outcome is ProposalOutcome.Applied
        }
        step.effects.filterIsInstance<SequencerEffect.Send>().forEach {
            enqueue(Envelope.ToRank(it.rank.index, it.message))
        }
    }

    private fun enqueue(envelope: Envelope) {
        if (network.size >= MAX_IN_FLIGHT) network.removeFirst()
        network += envelope
    }

    private fun newAgent(rank: Int) = Agent(
        RankState.starting(
            rank = Rank(rank),
            session = SessionId(agent = nextId++),
            silentUntil = now + orderLifetime
        )
    )

    private fun newSequencer() = Sequencer(
        SequencerState.starting(
            settings = SequencerSettings(ranks = RANKS, initialMap = mapOf(0)),
            id = SequencerId(nextId++)
        )
    )

    private fun mapOf(expert: Int) = ExpertMap(
        persistentListOf(LayerPlacement(slotsPerRank = 1, expertBySlot = persistentListOf(expert)))
    )
}
