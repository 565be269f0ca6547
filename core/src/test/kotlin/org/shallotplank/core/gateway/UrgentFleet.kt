package org.shallotplank.core.gateway

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/**
 * Thirteen entries on one virtual clock before 63 engines of 7 slots, which requests of three
 * priorities hold for about two seconds.
 *
 * @param offersWaiting whether an entry tells the others which requests wait there.
 * @param weightOf share of the arrivals of an entry relative to others, after a time.
 */
internal class UrgentFleet(
    seed: Int,
    private val load: Double,
    private val offersWaiting: (entry: Int) -> Boolean,
    private val weightOf: (entry: Int, Duration) -> Double
) {
    private val traffic = Random(seed)
    private val random = Random(seed + 1)
    private val due = PriorityQueue<Due>(compareBy({ it.at }, { it.order }))
    private var now = startOfTest
    private var scheduled = 0
    private var requests = 0
    private val running = HashMap<UpstreamKey, Int>()
    private val locations = List(ENTRIES) {
        EntryLocation(InstanceId("entry-$it"), ZoneName("zone-${it % 3}"))
    }
    private val entries = locations.map { location ->
        val settings = testSettings()
            .copy(instance = location.instance, zone = location.zone, policies = policies)
        GatewayState(settings)
    }.toMutableList()
    private val priorityOf = HashMap<String, Int>()
    val offered = IntArray(routes.size)
    val refused = IntArray(routes.size)

    private class Due(val at: kotlin.time.Instant, val order: Int, val run: () -> Unit)

    /** Runs for [duration] and returns the refused share by priority. */
    fun run(duration: Duration): List<Double> {
        val upstreams = List(ENGINES) { listedUpstream("%03d".format(it), "zone-${it % 3}", SLOTS) }
        entries.indices.forEach { entry ->
            emit(entry, GatewayEvent.RoutesAccepted(testTable(routes = routes)))
            emit(entry, GatewayEvent.UpstreamsListed(upstreams.toPersistentList()))
            emit(entry, GatewayEvent.ReadinessChanged(isReady = true))
            later(REPORT_INTERVAL * entry / ENTRIES) { report(entry) }
            later(TICK * entry / ENTRIES) { tick(entry) }
        }
        routes.forEach(::arriveLater)
        while (due.peek().at < startOfTest + duration) {
            val next = due.poll()
            now = next.at
            next.run()
        }
        return offered.indices.map { refused[it].toDouble() / offered[it] }
    }

    private fun arriveLater(route: Route) {
        val perSecond = shares[route.priority] * load * MAX_RUNNING / HELD.inWholeSeconds
        later((1 / perSecond).seconds * -ln(1 - traffic.nextDouble())) {
            val id = "r${requests++}"
            priorityOf[id] = route.priority
            offered[route.priority]++
            val event = arrival(id, RequestKind.STREAM, now, 8.seconds, route.pathPrefix)
            emit(drawEntry(), event)
            arriveLater(route)
        }
    }

    private fun drawEntry(): Int {
        val weights = entries.indices.map { weightOf(it, now - startOfTest) }
        var drawn = traffic.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight ->
            drawn -= weight
            drawn < 0
        }.coerceAtLeast(0)
    }

    private fun report(entry: Int) {
        val others = HashMap<UpstreamKey, Int>()
        for ((index, other) in entries.withIndex()) {
            if (index == entry) continue
            other.inFlight.forEach { (key, count) -> others.merge(key, count, Int::plus) }
        }
        val event = GatewayEvent.PeersReported(
            entryCount = ENTRIES,
            inFlight = others.toPersistentMap(),
            entries = locations.toPersistentSet(),
            serving = locations.map { it.instance }.toPersistentSet()
        )
        emit(entry, event)
        for ((index, other) in entries.withIndex()) {
            if (index == entry || !offersWaiting(index)) continue
            val waiting = other.waitingRequests
                .mapValues { (_, counts) -> WaitingRequests(counts.toPersistentMap(), now) }
            val instance = locations[index].instance
            emit(entry, GatewayEvent.WaitingLearned(instance, waiting.toPersistentMap()))
        }
        later(REPORT_INTERVAL) { report(entry) }
    }

    private fun tick(entry: Int) {
        emit(entry, GatewayEvent.Tick)
        later(TICK) { tick(entry) }
    }

    private fun emit(entry: Int, event: GatewayEvent) {
        val step = entries[entry].on(event, now, random)
        entries[entry] = step.state
        for (effect in step.effects) {
            when (effect) {
                is GatewayEffect.Send -> run(entry, effect)
                is GatewayEffect.Refuse ->
                    refused[priorityOf.getValue(effect.requestId.value)]++
                else -> Unit
            }
        }
    }

    private fun run(entry: Int, send: GatewayEffect.Send) {
        if ((running[send.upstream] ?: 0) >= SLOTS) {
            later(ANSWER_TIME) {
                emit(entry, GatewayEvent.NotRun(send.requestId, send.attempt, 503, false))
            }
            return
        }
        running.merge(send.upstream, 1, Int::plus)
        later(HELD * random.nextDouble(0.5, 1.5)) {
            running.merge(send.upstream, -1, Int::plus)
            emit(entry, GatewayEvent.AnswerEnded(send.requestId, send.attempt, status = 200))
        }
    }

    private fun later(delay: Duration, run: () -> Unit) {
        due += Due(now + delay, scheduled++, run)
    }

    companion object {
        const val ENTRIES = 13
        private const val ENGINES = 63
        private const val SLOTS = 7

        /** Pauses allow fewer requests than there are slots. */
        private const val MAX_RUNNING = ENGINES * SLOTS * 0.7
        private val policies = GatewayPolicies(maxRunning = { _, _, _ -> MAX_RUNNING.toInt() })
        private val HELD = 2.seconds
        private val ANSWER_TIME = 3.milliseconds
        private val TICK = 50.milliseconds

        /** Interval at which 13 entries poll each other. */
        private val REPORT_INTERVAL = 480.milliseconds

        /** Shares of the arrivals, by priority. */
        private val shares = listOf(56.2, 73.6, 24.7).map { it / (56.2 + 73.6 + 24.7) }

        private val routes = listOf(503, 503, 1_003).mapIndexed { priority, goalMillis ->
            testRoute(RequestKind.STREAM, prefix = "/p$priority/")
                .copy(goal = goalMillis.milliseconds, priority = priority, timeout = 8.seconds)
        }
    }
}
