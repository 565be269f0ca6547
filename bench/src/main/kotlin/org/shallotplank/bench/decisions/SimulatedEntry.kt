package org.shallotplank.bench.decisions

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.bench.simulation.VirtualClock
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.AttemptFailure
import org.shallotplank.core.gateway.AttemptProgress
import org.shallotplank.core.gateway.EngineLoad
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.core.gateway.GatewayEffect
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewayRequest
import org.shallotplank.core.gateway.GatewaySettings
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.ListedUpstream
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.gateway.needsProgress
import org.shallotplank.core.gateway.on
import org.shallotplank.core.gateway.workToReport
import org.shallotplank.core.work.ReportedWork

/** What a caller receives for one request that it sent to an entry. */
internal interface CallerAnswer {
    fun onEvent()

    fun onEnd(status: Int)

    fun onRefused(status: Int, retryAfter: Duration?)

    fun onCut()
}

/** An upstream of the simulation: its key, its zone and its index in its service. */
internal class UpstreamSite(
    val listed: ListedUpstream,
    val zone: Int,
    val index: Int,
    val service: LoadService,
    val upstreams: SimulatedUpstreams
)

/** Runs the reducer of one gateway entry on the virtual clock and carries out its effects. */
internal class SimulatedEntry(
    val location: EntryLocation,
    val zone: Int,
    private val settings: GatewaySettings,
    private val routes: RouteTable,
    private val sites: Map<UpstreamKey, UpstreamSite>,
    private val load: DecisionLoad,
    private val clock: VirtualClock,
    private val random: Random
) {
    private class OpenRequest(val kind: LoadKind, val draw: RequestDraw, val answer: CallerAnswer) {
        var attempt: OpenAttempt? = null
    }

    private var state = GatewayState(settings)
    private val open = HashMap<RequestId, OpenRequest>()
    private val events = ArrayDeque<GatewayEvent>()
    private val pauses = HashMap<ServiceName, MutableList<Duration>>()
    private val keptUntil = HashMap<UpstreamKey, Instant>()
    private var isReducing = false
    private var requestCount = 0
    private var incarnation = 0

    /** Connections that were opened to upstreams. */
    var connectionsOpened = 0
        private set
    var rejectedAttempts = 0
        private set

    val isUp: Boolean get() = state.isReady
    val inFlight: Map<UpstreamKey, Int> get() = state.inFlight

    /** Brings the entry into service; [listed] and the routes are known to it from then on. */
    fun start(listed: PersistentList<ListedUpstream>) {
        state = GatewayState(settings)
        emit(GatewayEvent.RoutesAccepted(routes))
        emit(GatewayEvent.UpstreamsListed(listed))
        emit(GatewayEvent.ReadinessChanged(isReady = true))
        val current = ++incarnation
        tickEvery(TICK, current) {
            reportSilence()
            if (state.needsProgress) reportProgress()
            emit(GatewayEvent.Tick)
        }
        tickEvery(PAUSE_REPORT_INTERVAL, current) { reportPauses() }
    }

    /** Ends the process; callers lose their connections. */
    fun losePower() {
        incarnation++
        val lost = open.values.toList()
        open.clear()
        state = GatewayState(settings)
        lost.forEach { it.answer.onCut() }
    }

    fun onWork(event: GatewayEvent.WorkLearned): Unit = emit(event)

    /** What the entry would report of the work of its requests; null if it would report nothing. */
    fun workToReport(now: Instant): ReportedWork? = state.workToReport(now)

    fun onPeers(event: GatewayEvent.PeersReported): Unit = emit(event)

    /** Accepts a request whose caller waits for [timeLeft]; a stopped entry cuts it at once. */
    fun submit(kind: LoadKind, draw: RequestDraw, timeLeft: Duration, answer: CallerAnswer) {
        if (!isUp) return answer.onCut()
        val id = RequestId("${location.instance}-$incarnation-${requestCount++}")
        open[id] = OpenRequest(kind, draw, answer)
        val request = GatewayRequest(
            id = id,
            attemptId = null,
            host = HOST,
            path = pathOf(kind),
            credential = null,
            timeLeft = timeLeft,
            bodySha256 = id.value,
            arrivedAt = clock.now,
            size = draw.size
        )
        emit(GatewayEvent.Arrived(request))
    }

    private fun emit(event: GatewayEvent) {
        events += event
        if (isReducing) return
        isReducing = true
        while (events.isNotEmpty()) {
            val next = events.removeFirst()
            val step = state.on(next, clock.now, random)
            state = step.state
            step.effects.forEach(::perform)
        }
        isReducing = false
    }

    private fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> open[effect.requestId]?.let { send(it, effect) }
            is GatewayEffect.CancelAttempt -> open[effect.requestId]?.attempt?.cancel()
            is GatewayEffect.DeliverHeld -> open.remove(effect.requestId)?.let {
                it.answer.onEnd(STATUS_FAILED)
                emit(GatewayEvent.AnswerEnded(effect.requestId, it.number, STATUS_FAILED))
            }
            is GatewayEffect.Refuse -> open.remove(effect.requestId)
                ?.answer?.onRefused(effect.status, effect.retryAfter)
            is GatewayEffect.Cut -> open.remove(effect.requestId)?.answer?.onCut()
            is GatewayEffect.CheckAlive, is GatewayEffect.ShareCrash, is GatewayEffect.Log,
            is GatewayEffect.RetainNotice, is GatewayEffect.RetainPromptCrash -> Unit
        }
    }

    private val OpenRequest.number: Int get() = attempt?.send?.attempt ?: 0

    private fun send(request: OpenRequest, send: GatewayEffect.Send) {
        val site = sites.getValue(send.upstream)
        val attempt = OpenAttempt(request, send, site)
        request.attempt?.cancel()
        request.attempt = attempt
        val isKept = !send.needsNewConnection && clock.now < (keptUntil[send.upstream] ?: START)
        keptUntil.remove(send.upstream)
        if (!isKept) connectionsOpened++
        val delay = delayTo(site)
        val connecting = if (isKept) Duration.ZERO else delay * 2 + site.service.connectTime
        clock.after(delay + connecting) { attempt.arrive() }
    }

    private fun delayTo(site: UpstreamSite): Duration =
        if (site.zone == zone) LOCAL_DELAY else load.zoneDelay

    private fun reportSilence() {
        for (request in open.values.toList()) {
            val attempt = request.attempt?.takeIf { it.isOpen } ?: continue
            val silence = clock.now - attempt.progressAt
            if (silence < MIN_REPORTED_SILENCE) continue
            val send = attempt.send
            emit(GatewayEvent.AttemptSilent(send.requestId, send.attempt, silence))
        }
    }

    private fun reportProgress() {
        val received = open.mapNotNull { (id, request) ->
            val attempt = request.attempt?.takeIf { it.isOpen && it.events > 0 }
            attempt?.let { id to AttemptProgress(it.send.attempt, it.events) }
        }
        emit(GatewayEvent.StreamsProgressed(received.toMap().toPersistentMap()))
    }

    private fun reportPauses() {
        if (pauses.isEmpty()) return
        val quantiles = pauses.mapValues { (_, all) ->
            all.sorted()[(all.size * PAUSE_QUANTILE).toInt().coerceAtMost(all.lastIndex)]
        }
        pauses.clear()
        emit(GatewayEvent.PausesObserved(quantiles.toPersistentMap()))
    }

    private fun tickEvery(interval: Duration, current: Int, action: () -> Unit) {
        clock.after(interval) {
            if (current != incarnation) return@after
            action()
            tickEvery(interval, current, action)
        }
    }

    /** An attempt of [request]; events arrive back at the entry after the network delay. */
    private inner class OpenAttempt(
        val request: OpenRequest,
        val send: GatewayEffect.Send,
        private val site: UpstreamSite
    ) : WorkReceiver {
        var isOpen = true
            private set
        var progressAt: Instant = clock.now
            private set
        var events = 0
            private set
        private val sentAt = clock.now
        private val sentBy = incarnation
        private var hasAnswer = false
        private var firstEvent: Duration? = null
        private var longestPause: Duration? = null
        private val work = request.draw.work(request.kind, this)

        fun cancel() {
            isOpen = false
            clock.after(delayTo(site)) { work.isCancelled = true }
        }

        fun arrive() {
            if (!isOpen || site.upstreams.accept(site.index, work)) return
            rejectedAttempts++
            back {
                isOpen = false
                emit(
                    GatewayEvent.NotRun(send.requestId, send.attempt, STATUS_UNAVAILABLE, false)
                )
            }
        }

        override fun onHead(load: EngineLoad): Unit = back {
            progressAt = clock.now
            val status = if (work.isFailed) STATUS_FAILED else STATUS_OK
            emit(GatewayEvent.HeadReceived(send.requestId, send.attempt, status, load))
        }

        override fun onEvent(): Unit = back {
            events++
            val pause = clock.now - progressAt
            if (firstEvent == null) {
                firstEvent = clock.now - sentAt
            } else {
                longestPause = maxOf(longestPause ?: pause, pause)
                pauses.getOrPut(site.listed.record.service) { mutableListOf() } += pause
            }
            progressAt = clock.now
            if (!hasAnswer) emit(GatewayEvent.AnswerBegun(send.requestId, send.attempt))
            hasAnswer = true
            request.answer.onEvent()
        }

        override fun onEnd(isFailed: Boolean): Unit = back {
            isOpen = false
            keptUntil[send.upstream] = clock.now + KEPT_TIME
            if (isFailed && !hasAnswer) {
                emit(GatewayEvent.AnswerHeld(send.requestId, send.attempt, STATUS_FAILED))
                return@back
            }
            val ended = GatewayEvent.AnswerEnded(
                requestId = send.requestId,
                attempt = send.attempt,
                status = STATUS_OK,
                firstEvent = firstEvent,
                longestPause = longestPause,
                events = events
            )
            emit(ended)
            open.remove(send.requestId)?.answer?.onEnd(STATUS_OK)
        }

        override fun onLost(): Unit = back {
            isOpen = false
            val cause = AttemptFailure.CONNECTION_LOST
            emit(GatewayEvent.AttemptLost(send.requestId, send.attempt, cause))
        }

        private fun back(action: () -> Unit) {
            clock.after(delayTo(site)) { if (isOpen && sentBy == incarnation) action() }
        }
    }

    internal companion object {
        const val HOST = "service"

        fun pathOf(kind: LoadKind): String = "/${kind.name}/"

        private const val STATUS_OK = 200
        private const val STATUS_FAILED = 500
        private const val STATUS_UNAVAILABLE = 503
        private val START = Instant.DISTANT_PAST

        /** As in a gateway process. */
        private val TICK = 50.milliseconds
        private val PAUSE_REPORT_INTERVAL = 200.milliseconds
        private const val PAUSE_QUANTILE = 0.9
        private val MIN_REPORTED_SILENCE = 300.milliseconds

        /** Idle time after which most upstreams close a connection. */
        private val KEPT_TIME = 200.milliseconds
        private val LOCAL_DELAY = 0.1.milliseconds
    }
}
