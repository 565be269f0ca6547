package org.shallotplank.core.gateway

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ZoneName

/** Gateway entries on one virtual clock, and engines that reject requests beyond their slots. */
internal class EntryFleet(
    private val entryCount: Int,
    private val upstreamCount: Int,
    private val slots: Int,
    /** Interval, and so the highest age, of the reports; it grows with the number of entries. */
    private val reportInterval: Duration,
    /** Requests per second that an upstream names in the heads of its answers, null for none. */
    private val limitOf: (UpstreamKey, Instant) -> Double? = { _, _ -> null }
) {
    private val random = Random(5)
    private val due = PriorityQueue<Due>(compareBy({ it.at }, { it.order }))
    private var now = startOfTest
    private val running = HashMap<UpstreamKey, Int>()
    private val zones = List(3) { "zone-$it" }
    private val locations = List(entryCount) {
        EntryLocation(InstanceId("entry-$it"), ZoneName(zones[it % zones.size]))
    }
    private val entries = locations.map { location ->
        GatewayState(testSettings().copy(instance = location.instance, zone = location.zone))
    }.toMutableList()
    private var requests = 0
    private var scheduled = 0

    var sent = 0
        private set

    /** Times of the requests that reached each upstream. */
    val arrivals = HashMap<UpstreamKey, MutableList<Instant>>()
    var rejected = 0
        private set

    private class Due(val at: Instant, val order: Int, val run: () -> Unit)

    /** Sends requests for [duration] at a rate that keeps [load] of all slots busy on average. */
    fun simulate(load: Double, duration: Duration) {
        val upstreams = List(upstreamCount) {
            listedUpstream("%03d".format(it), zones[it % zones.size], slots)
        }.toPersistentList()
        entries.indices.forEach { entry ->
            emit(entry, GatewayEvent.RoutesAccepted(testTable(coldRate = COLD_RATE)))
            emit(entry, GatewayEvent.UpstreamsListed(upstreams))
            emit(entry, GatewayEvent.ReadinessChanged(isReady = true))
            later(reportInterval * entry / entryCount) { report(entry) }
        }
        val meanGap = SERVICE_TIME / (upstreamCount * slots * load)
        arriveAfter(meanGap)
        val end = now + duration
        while (due.peek().at < end) {
            val next = due.poll()
            now = next.at
            next.run()
        }
    }

    private fun arriveAfter(meanGap: Duration) {
        later(meanGap * -ln(1 - random.nextDouble())) {
            val id = "r${requests++}"
            emit(random.nextInt(entryCount), arrival(id, RequestKind.STREAM, now))
            arriveAfter(meanGap)
        }
    }

    /** Reports to [entry] the requests that the other entries have in flight now. */
    private fun report(entry: Int) {
        val others = HashMap<UpstreamKey, Int>()
        entries.filterIndexed { index, _ -> index != entry }
            .forEach { other ->
                other.inFlight.forEach { (key, n) -> others.merge(key, n, Int::plus) }
            }
        val event = GatewayEvent.PeersReported(
            entryCount = entryCount,
            inFlight = others.toPersistentMap(),
            entries = locations.toPersistentSet(),
            serving = locations.map { it.instance }.toPersistentSet()
        )
        emit(entry, event)
        entries.filterIndexed { index, _ -> index != entry }.forEach { other ->
            val rates = other.observedRates.toPersistentMap()
            emit(entry, GatewayEvent.UpstreamRatesLearned(rates))
        }
        later(reportInterval) { report(entry) }
    }

    private fun emit(entry: Int, event: GatewayEvent) {
        val step = entries[entry].on(event, now, random)
        entries[entry] = step.state
        step.effects.filterIsInstance<GatewayEffect.Send>().forEach { run(entry, it) }
    }

    private fun run(entry: Int, send: GatewayEffect.Send) {
        sent++
        arrivals.getOrPut(send.upstream) { mutableListOf() } += now
        later(HEAD_TIME) {
            val limit = limitOf(send.upstream, now)
            emit(entry, GatewayEvent.UpstreamRateObserved(send.upstream, limit))
        }
        val isFull = (running[send.upstream] ?: 0) >= slots
        if (isFull) {
            rejected++
            later(ANSWER_TIME) {
                val event = GatewayEvent.NotRun(
                    send.requestId,
                    send.attempt,
                    503,
                    isMisdirected = false
                )
                emit(entry, event)
            }
            return
        }
        running.merge(send.upstream, 1, Int::plus)
        later(SERVICE_TIME * random.nextDouble(0.2, 1.8)) {
            running.merge(send.upstream, -1, Int::plus)
            end(entry, send.requestId, send.attempt)
        }
    }

    private fun end(entry: Int, request: RequestId, attempt: Int) =
        emit(entry, GatewayEvent.AnswerEnded(request, attempt, status = 200))

    private fun later(delay: Duration, run: () -> Unit) {
        due += Due(now + delay, scheduled++, run)
    }

    private companion object {
        const val COLD_RATE = 14.0
        val SERVICE_TIME = 1.seconds
        val ANSWER_TIME = 3.milliseconds
        val HEAD_TIME = 100.milliseconds
    }
}
