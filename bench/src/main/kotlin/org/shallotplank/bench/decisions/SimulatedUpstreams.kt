package org.shallotplank.bench.decisions

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.shallotplank.bench.simulation.VirtualClock
import org.shallotplank.core.gateway.EngineLoad

/** An attempt at an upstream, with its size and the receiver of its answer. */
internal class SimulatedWork(
    val promptTokens: Double,
    val events: Int,
    val workTime: Duration,
    val isFailed: Boolean,
    val receiver: WorkReceiver
) {
    var promptTokensLeft = promptTokens
    var eventsLeft = events
    var isCancelled = false
}

/** Receives what an upstream sends for one attempt. */
internal interface WorkReceiver {
    fun onHead(load: EngineLoad)

    fun onEvent()

    fun onEnd(isFailed: Boolean)

    fun onLost()
}

/** The upstreams of one service, addressed by their index. */
internal interface SimulatedUpstreams {
    /** Starts or queues [work] at an upstream; returns false if it is full. */
    fun accept(upstream: Int, work: SimulatedWork): Boolean

    /** Drops all work and accepts none for [downTime]. */
    fun losePower(downTime: Duration)
}

/** Model engines of one rank group, which run each pass together. */
internal class SimulatedRankGroup(
    private val service: LoadService,
    private val engine: LoadEngine,
    private val clock: VirtualClock
) : SimulatedUpstreams {
    private class Rank {
        val running = mutableListOf<SimulatedWork>()
        val queued = ArrayDeque<SimulatedWork>()
        var slowdown = 1.0
    }

    private val ranks = List(service.upstreamsPerZone.sum()) { Rank() }
    private var isPassRunning = false
    private var isDown = false
    private var incarnation = 0
    private var jumpedAt: Instant = Instant.DISTANT_PAST
    private var relievedAt: Instant = Instant.DISTANT_PAST

    fun jumpDemand() {
        jumpedAt = clock.now
    }

    /**
     * Makes the first rank take [slowdown] times as long for all its work.
     *
     * After [untilDetected] and the time to adapt, the map leaves it hardly any expert.
     */
    fun slowDownOneRank(slowdown: Double, untilDetected: Duration) {
        ranks.first().slowdown = slowdown
        relievedAt = clock.now + untilDetected + engine.adaptTime
    }

    override fun accept(upstream: Int, work: SimulatedWork): Boolean {
        val rank = ranks[upstream]
        if (isDown || rank.running.size + rank.queued.size >= service.slots + service.queued) {
            return false
        }
        rank.queued += work
        startPass()
        return true
    }

    override fun losePower(downTime: Duration) {
        isDown = true
        incarnation++
        isPassRunning = false
        val lost = ranks.flatMap { it.running + it.queued }
        ranks.forEach {
            it.running.clear()
            it.queued.clear()
        }
        lost.forEach { it.receiver.onLost() }
        clock.after(downTime + engine.formTime) { isDown = false }
    }

    private fun startPass() {
        if (isPassRunning) return
        for (rank in ranks) {
            rank.running.removeAll { it.isCancelled }
            rank.queued.removeAll { it.isCancelled }
            while (rank.running.size < service.slots && rank.queued.isNotEmpty()) {
                rank.running += rank.queued.removeFirst()
            }
        }
        if (ranks.all { it.running.isEmpty() }) return
        isPassRunning = true
        val current = incarnation
        val hasWriters = ranks.any { rank -> rank.running.any { it.promptTokensLeft <= 0 } }
        val steps = if (hasWriters) engine.stride else 1
        val tokenTimes = ranks.map { it.tokenTime(steps) * it.slowdown }
        val mean = tokenTimes.fold(Duration.ZERO, Duration::plus) / tokenTimes.size
        val slowest = ranks.indices.maxOf { rank ->
            engine.step * steps * ranks[rank].slowdown + tokenTimes[rank] * (1 - engine.expertShare)
        }
        val passTime = slowest + mean * engine.expertShare * imbalance() * slowestExperts()
        clock.after(passTime) { if (current == incarnation) endPass() }
    }

    /** Time of this rank's work that grows with its tokens, over [steps] steps. */
    private fun Rank.tokenTime(steps: Int): Duration {
        val writers = running.filter { it.promptTokensLeft <= 0 }
        val context = writers.sumOf { it.promptTokens }
        val read = minOf(
            running.sumOf { it.promptTokensLeft.coerceAtLeast(0.0) },
            engine.chunkTokens.toDouble() * steps
        )
        val writing = engine.stepPerRequest * writers.size +
            engine.stepPerThousandTokens * (context / TOKENS_PER_THOUSAND)
        return writing * steps + (read / engine.promptTokensPerMilli).milliseconds
    }

    /** A slow rank takes as much longer for the tokens of its experts until a map relieves it. */
    private fun slowestExperts(): Double =
        if (clock.now < relievedAt) ranks.maxOf { it.slowdown } else 1.0

    private fun imbalance(): Double =
        if (clock.now - jumpedAt < engine.adaptTime) engine.jumpImbalance else engine.usualImbalance

    private fun endPass() {
        isPassRunning = false
        for (rank in ranks) {
            var readable = engine.chunkTokens.toDouble() * engine.stride
            val writers = rank.running.filter { it.promptTokensLeft <= 0 }
            for (work in rank.running.filter { it.promptTokensLeft > 0 }) {
                val read = minOf(work.promptTokensLeft, readable)
                work.promptTokensLeft -= read
                readable -= read
            }
            writers.forEach { rank.write(it) }
        }
        startPass()
    }

    private fun Rank.write(work: SimulatedWork) {
        if (work.isCancelled) return
        if (work.eventsLeft == work.events) work.receiver.onHead(load())
        work.eventsLeft--
        work.receiver.onEvent()
        if (work.eventsLeft > 0) return
        running -= work
        work.receiver.onEnd(work.isFailed)
    }

    private fun Rank.load() = EngineLoad(running.size, queued.size, service.slots)

    private companion object {
        const val TOKENS_PER_THOUSAND = 1_000
    }
}

/** Upstreams of a plain service, which work on each request for its own time. */
internal class SimulatedPlainService(
    private val service: LoadService,
    private val clock: VirtualClock,
    private val random: Random
) : SimulatedUpstreams {
    private class Upstream {
        var running = 0
        val queued = ArrayDeque<SimulatedWork>()
    }

    private val upstreams = List(service.upstreamsPerZone.sum()) { Upstream() }
    private var downUntil: Instant = Instant.DISTANT_PAST
    private var incarnation = 0

    /** Share of the answers that are lost after the work. */
    var lostShare = 0.0

    override fun accept(upstream: Int, work: SimulatedWork): Boolean {
        val chosen = upstreams[upstream]
        if (clock.now < downUntil || chosen.queued.size >= service.queued) return false
        chosen.queued += work
        chosen.startNext()
        return true
    }

    override fun losePower(downTime: Duration) {
        downUntil = clock.now + downTime
        incarnation++
        upstreams.forEach { upstream ->
            upstream.queued.forEach { it.receiver.onLost() }
            upstream.queued.clear()
            upstream.running = 0
        }
    }

    private fun Upstream.startNext() {
        queued.removeAll { it.isCancelled }
        if (running >= service.slots) return
        val work = queued.removeFirstOrNull() ?: return
        running++
        val current = incarnation
        clock.after(work.workTime) {
            if (current != incarnation) return@after work.receiver.onLost()
            running--
            if (!work.isCancelled) finish(work)
            startNext()
        }
    }

    private fun Upstream.finish(work: SimulatedWork) {
        if (random.nextDouble() < lostShare) return work.receiver.onLost()
        work.receiver.onHead(EngineLoad(running, queued.size, service.slots))
        work.receiver.onEnd(work.isFailed)
    }
}
