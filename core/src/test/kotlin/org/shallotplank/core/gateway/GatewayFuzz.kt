package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId
import org.shallotplank.core.ZoneName

/**
 * Random events against an entry, checked by a model of its requests and upstreams.
 *
 * The model records which requests may have run, which upstreams announced that they leave or
 * asked for a pause, and how often requests were sent to each upstream.
 */
class GatewayFuzz {
    @Nested
    inner class AnEntry {
        @Test
        fun `ends every request, repeats none unsafely and respects upstream limits`() {
            for (seed in firstSeed until firstSeed + SEEDS) {
                try {
                    GatewaySimulation(seed).run()
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 200L

        /** First seed of the runs; `scripts/fuzz --seed` sets another one. */
        val firstSeed: Long = java.lang.Long.getLong("shallotplank.fuzz.seed", 1L)
    }
}

private const val COLD_RATE = 12.0
private const val ENTRIES = 3
private const val RETRY_SLACK = 12

/** One run with a seed; checks each effect when the reducer returns it. */
private class GatewaySimulation(seed: Long) {
    private val random = Random(seed)
    private var now = startOfTest
    private var state = GatewayState(testSettings(RETRY_SLACK))
    private val open = HashMap<RequestId, Attempt>()
    private val requests = HashMap<RequestId, Request>()
    private val sendTimes = HashMap<UpstreamKey, MutableList<Instant>>()
    private val firstTimes = mutableListOf<Instant>()
    private val repeatTimes = mutableListOf<Instant>()
    private var nextId = 0
    private val restarts = LongArray(3) { 1 }
    private var leaving = setOf<String>()
    private val announcedLeaving = mutableSetOf<UpstreamKey>()
    private val pausedUntil = HashMap<UpstreamKey, Instant>()
    private var outOfService = setOf<ZoneName>()

    private class Request(val kind: RequestKind) {
        var sends = 0
        var mayHaveRun = false
        var isEnded = false
    }

    private class Attempt(val send: GatewayEffect.Send)

    fun run() {
        emit(GatewayEvent.RoutesAccepted(testTable(coldRate = COLD_RATE)))
        list()
        emit(GatewayEvent.ReadinessChanged(isReady = true))
        emit(GatewayEvent.PeersReported(ENTRIES, persistentMapOf()))
        repeat(600) { step() }
        now += 20.seconds
        emit(GatewayEvent.Tick)
        assertEquals(0, requests.values.count { !it.isEnded }, "requests that have not ended")
        assertTrue(state.upstreams.values.all { it.outstanding == 0 }, "attempts still open")
    }

    private fun step() {
        now += random.nextInt(60).milliseconds
        when (random.nextInt(12)) {
            in 0..3 -> arrive()
            in 4..8 -> open.values.randomOrNull(random)?.let { finish(it) }
            9 -> emit(GatewayEvent.Tick)
            10 -> if (random.nextInt(5) == 0) change()
            else -> requests.entries.filter { !it.value.isEnded }.randomOrNull(random)?.let {
                if (random.nextInt(4) == 0) leave(it.key)
            }
        }
    }

    private fun arrive() {
        val kind = RequestKind.entries.random(random)
        val id = "r${nextId++}"
        requests[RequestId(id)] = Request(kind)
        firstTimes += now
        emit(arrival(id, kind, now))
    }

    private fun leave(id: RequestId) {
        requests.getValue(id).isEnded = true
        emit(GatewayEvent.CallerLeft(id))
        open.remove(id)
    }

    private fun change() {
        when (random.nextInt(5)) {
            3 -> state.upstreams.keys.randomOrNull(random)?.let { notice(it) }
            4 -> {
                restarts[random.nextInt(restarts.size)]++
                list()
            }
            0 -> {
                leaving = setOf("u0", "u1", "u2").filter { random.nextInt(4) == 0 }.toSet()
                list()
            }
            1 -> {
                outOfService = listOf("a", "b").filter { random.nextInt(4) == 0 }
                    .map { ZoneName(it) }.toSet()
                emit(
                    GatewayEvent.EvacuationsChanged(
                        persistentSetOf<ZoneName>().addAll(outOfService)
                    )
                )
            }
            else -> state.upstreams.keys.randomOrNull(random)
                ?.let { emit(GatewayEvent.UpstreamCrashed(it)) }
        }
    }

    private fun notice(upstream: UpstreamKey) {
        val isLeaving = random.nextInt(3) == 0
        val pause = random.nextInt(3_000).milliseconds.takeIf { !isLeaving }
        if (isLeaving) announcedLeaving += upstream
        if (pause != null) pausedUntil.merge(upstream, now + pause) { a, b -> maxOf(a, b) }
        emit(GatewayEvent.UpstreamNotice(upstream, isLeaving, pause))
    }

    private fun list() {
        val listed = (0..2).filter { random.nextInt(6) > 0 }.map { index ->
            val entry = listedUpstream(
                "u$index",
                zone = if (index == 0) "a" else "b",
                incarnation = restarts[index]
            )
            entry.copy(record = entry.record.copy(isLeaving = "u$index" in leaving))
        }
        emit(GatewayEvent.UpstreamsListed(listed.toPersistentList()))
    }

    private fun finish(attempt: Attempt) {
        val send = attempt.send
        val request = requests.getValue(send.requestId)
        val outcome = random.nextInt(7)
        if (outcome in 2..6) request.mayHaveRun = true
        open.remove(send.requestId)
        when (outcome) {
            0 -> emit(
                GatewayEvent.ConnectFailed(send.requestId, send.attempt, ConnectFailure.REFUSED)
            )
            1 -> emit(GatewayEvent.NotRun(send.requestId, send.attempt, 503, isMisdirected = false))
            2 -> emit(
                GatewayEvent.AttemptLost(
                    send.requestId,
                    send.attempt,
                    AttemptFailure.entries.random(random)
                )
            )
            3 -> emit(GatewayEvent.AnswerHeld(send.requestId, send.attempt, 500))
            else -> answer(send)
        }
    }

    private fun answer(send: GatewayEffect.Send) {
        requests.getValue(send.requestId).isEnded = true
        emit(GatewayEvent.AnswerEnded(send.requestId, send.attempt, 200))
    }

    private fun emit(event: GatewayEvent) {
        val step = state.on(event, now, random)
        state = step.state
        step.effects.forEach(::check)
    }

    private fun check(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> onSend(effect)
            is GatewayEffect.CancelAttempt -> {
                val isOpen = open.remove(effect.requestId) != null
                if (isOpen) requests.getValue(effect.requestId).mayHaveRun = true
            }
            is GatewayEffect.Refuse -> onRefuse(effect)
            is GatewayEffect.Cut -> requests.getValue(effect.requestId).isEnded = true
            is GatewayEffect.DeliverHeld -> {
                val phase = state.calls[effect.requestId]?.phase as? GatewayPhase.Sent
                val attempt = checkNotNull(phase).attempt
                requests.getValue(effect.requestId).isEnded = true
                emit(GatewayEvent.AnswerEnded(effect.requestId, attempt, 500))
            }
            else -> Unit
        }
    }

    private fun onSend(send: GatewayEffect.Send) {
        val request = requests.getValue(send.requestId)
        assertTrue(!request.isEnded, "sent after the request ended")
        assertTrue(
            !request.mayHaveRun || request.kind != RequestKind.UNSAFE,
            "${send.requestId} is unsafe, may have run and is sent again"
        )
        val upstream = state.upstreams.getValue(send.upstream).record
        assertTrue(!upstream.isLeaving && upstream.zone !in outOfService, "sent to $upstream")
        assertTrue(
            send.upstream !in announcedLeaving,
            "sent to $upstream, which announced that it leaves"
        )
        val isPaused = now < (pausedUntil[send.upstream] ?: Instant.DISTANT_PAST)
        assertTrue(!isPaused, "sent to $upstream during its pause")
        val times = sendTimes.getOrPut(send.upstream) { mutableListOf() }
        times += now
        val inSecond = times.count { now - it < 1.seconds }
        assertTrue(inSecond <= COLD_RATE / ENTRIES, "$inSecond requests in a second")
        if (request.sends++ > 0) onRepeat()
        open[send.requestId] = Attempt(send)
    }

    /** Counts sends after a failed connection too, although the upstream received nothing. */
    private fun onRepeat() {
        repeatTimes += now
    }

    private fun onRefuse(refuse: GatewayEffect.Refuse) {
        val request = requests.getValue(refuse.requestId)
        assertTrue(!request.isEnded, "refused after the request ended")
        request.isEnded = true
        val claimsNotRun = refuse.status == 503
        assertTrue(
            !claimsNotRun || !request.mayHaveRun,
            "${refuse.requestId} may have run, but its refusal says that it did not"
        )
    }
}
