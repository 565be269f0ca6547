package org.shallotplank.gateway

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpRequest
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.AttemptProgress
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.core.gateway.ConnectFailure
import org.shallotplank.core.gateway.GatewayEffect
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewayRequest
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.gateway.acceptsRequests
import org.shallotplank.core.gateway.isRefusedBeforeBody
import org.shallotplank.core.gateway.needsProgress
import org.shallotplank.core.gateway.on
import org.shallotplank.core.gateway.usesWork
import org.shallotplank.core.gateway.workToReport
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.work.ReportedWork
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.budget.MessageMemory
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.budget.ShedLog
import org.shallotplank.gateway.budget.jvmMaxBytes
import org.shallotplank.gateway.caller.CallerConnection
import org.shallotplank.gateway.caller.CallerListener
import org.shallotplank.gateway.caller.CallerMessage
import org.shallotplank.gateway.caller.CallerServer
import org.shallotplank.gateway.caller.requestSizeOf
import org.shallotplank.gateway.caller.sharedPartsOf
import org.shallotplank.gateway.upstream.AttemptContext
import org.shallotplank.gateway.upstream.UpstreamAttempt
import org.shallotplank.gateway.upstream.UpstreamConnection
import org.shallotplank.gateway.upstream.UpstreamPool
import org.shallotplank.gateway.upstream.UpstreamTarget
import org.shallotplank.gateway.upstream.forwardedRequest

/**
 * Passes events of the connections to the reducer and carries out the effects that it requests.
 *
 * Not thread-safe; use it on the event loop only.
 */
internal class GatewayExchanges(
    private val settings: GatewayEntrySettings,
    private val headers: HeaderNames,
    group: EventLoopGroup,
    private val environment: GatewayEnvironment,
    private val metrics: GatewayMetrics,
    private val log: (LogRecord) -> Unit
) : CallerListener {
    private val clock = environment.clock
    private val pool = UpstreamPool(group, clock)
    private val budget = MemoryBudget(
        maxBytes = settings.maxHeldBytes ?: jvmMaxBytes(),
        onMessageRefused = { countShed(ShedCause.MESSAGES) },
        now = clock::now
    )
    private val shedLog = ShedLog(metrics::countShed, log) { budget.usedBytes }
    private val server = CallerServer(
        group,
        settings.listenAddress,
        (settings.maxConnections * CALLER_CONNECTION_SHARE).toInt(),
        this,
        clock,
        budget
    )
    private val attempts = AttemptContext(headers, clock, pool, ::emit, log, ::recordPause)
    private val open = LinkedHashMap<RequestId, Exchange>()
    private val openByConnection = HashMap<CallerConnection, Exchange>()
    private val events = ArrayDeque<GatewayEvent>()
    private var isReducing = false
    private var requestCount = 0L
    private val pausesByService = HashMap<ServiceName, MutableList<Duration>>()
    private var pausesReportedAt: Instant = clock.now()
    private var sweptAt: Instant = clock.now()

    /** Counts messages of other processes in the budget of this one. */
    val messages: MessageMemory get() = budget

    /** Called with each crash that the reducer attributes to a request. */
    var onCrash: (CrashRecord) -> Unit = {}

    /** The state after the last event. */
    var state = GatewayState(settings.toReducerSettings())
        private set

    val openCount: Int get() = open.size

    override val limits: CallerLimits get() = state.routes?.limits ?: CallerLimits()

    override val isStopping: Boolean get() = state.isStopping

    override val isCalm: Boolean
        get() = !budget.isPressed && state.queues.values.all { it.waitingCount == 0 }

    /** Starts to listen for callers. */
    fun start() {
        server.start()
        metrics.gauge(GatewayMetric.IN_FLIGHT) { open.size }
        metrics.gauge(GatewayMetric.CALLER_CONNECTIONS) { server.connectionCount }
        metrics.gauge(GatewayMetric.HELD_BYTES) { budget.usedBytes }
        metrics.gauge(GatewayMetric.MESSAGE_BYTES) { budget.messageBytes }
        metrics.gauge(GatewayMetric.UPSTREAM_CONNECTIONS) { pool.openCount }
        metrics.gauge(GatewayMetric.UPSTREAMS) { state.upstreams.size }
        metrics.gauge(GatewayMetric.CONFIGURATION_VERSION) { state.routes?.version?.value ?: 0 }
        metrics.gauge(GatewayMetric.ESTIMATE_FACTOR) { state.work.errors.typicalFactor }
        metrics.gauge(GatewayMetric.ESTIMATE_BIAS) { state.work.errors.bias }
        metrics.gauge(GatewayMetric.SERVICES_BY_WORK) {
            state.routes?.services?.keys?.count(state::usesWork) ?: 0
        }
        metrics.gauge(GatewayMetric.READY) { if (state.isReady && !state.isStopping) 1 else 0 }
    }

    /** Stops listening and closes the connections that have no request in flight. */
    fun closeIdle(): Unit = server.closeIdle()

    /** Reduces [event] after all events that were emitted before it. */
    fun emit(event: GatewayEvent) {
        events += event
        if (isReducing) return
        isReducing = true
        try {
            while (events.isNotEmpty()) reduce(events.removeFirst())
        } finally {
            isReducing = false
        }
    }

    private fun reduce(event: GatewayEvent) {
        val transition = state.on(event, clock.now(), environment.random)
        state = transition.state
        transition.effects.forEach(::perform)
        if (event is GatewayEvent.AnswerEnded) finish(event.requestId, RequestOutcome.ANSWERED)
    }

    /** Reports the time and silent upstreams to the reducer; closes overdue connections. */
    fun tick(now: Instant) {
        for (exchange in open.values.toList()) {
            val attempt = exchange.attempt?.takeIf { it.isRunning } ?: continue
            val silence = attempt.timeSinceProgress(now)
            if (silence >= MIN_REPORTED_SILENCE) {
                emit(GatewayEvent.AttemptSilent(exchange.id, attempt.attemptNumber, silence))
            }
        }
        if (state.needsProgress) reportProgress()
        if (now - pausesReportedAt >= PAUSE_REPORT_INTERVAL) reportPauses(now)
        emit(GatewayEvent.Tick)
        budget.sweep()
        shedLog.write(now)
        if (now - sweptAt >= SWEEP_INTERVAL) {
            sweptAt = now
            server.closeOverdue(now)
            pool.closeExpired()
        }
    }

    /** What this entry reports to the others of the work of its requests. */
    fun workToReport(): ReportedWork? = state.workToReport(clock.now())

    private fun reportProgress() {
        val received = open.values.mapNotNull { exchange ->
            val attempt = exchange.attempt?.takeIf { it.isRunning && it.eventCount > 0 }
            attempt?.let { exchange.id to AttemptProgress(it.attemptNumber, it.eventCount) }
        }
        if (received.isEmpty()) return
        emit(GatewayEvent.StreamsProgressed(received.toMap().toPersistentMap()))
    }

    private fun recordPause(upstream: UpstreamKey, pause: Duration) {
        val service = state.upstreams[upstream]?.record?.service ?: return
        pausesByService.getOrPut(service) { mutableListOf() } += pause
    }

    private fun reportPauses(now: Instant) {
        pausesReportedAt = now
        if (pausesByService.isEmpty()) return
        val quantiles = pausesByService.mapValues { (_, pauses) ->
            pauses.sorted()[(pauses.size * PAUSE_QUANTILE).toInt().coerceAtMost(pauses.lastIndex)]
        }
        pausesByService.clear()
        emit(GatewayEvent.PausesObserved(quantiles.toPersistentMap()))
    }

    override fun onRequest(connection: CallerConnection, message: CallerMessage) {
        requestCount++
        val now = clock.now()
        val incarnation = environment.incarnation.toString(ID_RADIX)
        val id = RequestId("${settings.instanceId}-$incarnation-$requestCount")
        val exchange = Exchange(id, connection, message, now)
        open[id] = exchange
        openByConnection[connection] = exchange
        val request = GatewayRequest(
            id = id,
            attemptId = message.headers[headers.attemptId],
            host = message.headers["Host"].orEmpty().substringBefore(':'),
            path = message.uri,
            credential = message.headers[headers.credential],
            timeLeft = message.headers[headers.timeLeftMillis]
                ?.trim()
                ?.toLongOrNull()
                ?.milliseconds,
            bodySha256 = digestOf(message),
            arrivedAt = now,
            sharedParts = sharedPartsOf(message.headers.getAll(headers.promptParts)),
            size = requestSizeOf(
                tokenCounts = message.headers[headers.tokenCounts],
                lengthHint = message.headers[headers.lengthHint]
            )
        )
        emit(GatewayEvent.Arrived(request))
    }

    private fun digestOf(message: CallerMessage): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${message.method} ${message.uri}\n".toByteArray())
        message.body.nioBuffers().forEach(digest::update)
        return HexFormat.of().formatHex(digest.digest())
    }

    override fun isRefusedBeforeBody(request: HttpRequest): Boolean = state.isRefusedBeforeBody(
        host = request.headers()["Host"].orEmpty().substringBefore(':'),
        path = request.uri(),
        credential = request.headers()[headers.credential]
    )

    override fun onShed(connection: CallerConnection, cause: ShedCause): Unit = countShed(cause)

    override fun onFailure(connection: CallerConnection, cause: Throwable): Unit = log(
        logRecord(
            LogEvent.INTERNAL_ERROR,
            "error" to cause,
            "place" to cause.stackTrace.firstOrNull()
        )
    )

    /** Counts a connection of any address of the entry that was closed or refused. */
    fun countShed(cause: ShedCause): Unit = shedLog.add(cause)

    override fun onInvalid(connection: CallerConnection, status: Int, detail: String): Unit = log(
        logRecord(
            LogEvent.CALLER_MESSAGE_INVALID,
            "caller" to connection.remote,
            "status" to status,
            "detail" to detail
        )
    )

    override fun onClosed(connection: CallerConnection, isAnswerOpen: Boolean) {
        val exchange = openByConnection[connection] ?: return
        emit(GatewayEvent.CallerLeft(exchange.id))
        finish(exchange.id, RequestOutcome.CALLER_LEFT)
    }

    override fun onWritable(connection: CallerConnection, isWritable: Boolean) {
        openByConnection[connection]?.attempt?.setReading(isWritable)
    }

    private fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> send(effect)
            is GatewayEffect.CancelAttempt -> withdraw(effect)
            is GatewayEffect.DeliverHeld -> deliver(effect.requestId)
            is GatewayEffect.Refuse -> refuse(effect)
            is GatewayEffect.Cut -> cut(effect.requestId)
            is GatewayEffect.CheckAlive -> checkAlive(effect)
            is GatewayEffect.ShareCrash -> onCrash(effect.record)
            is GatewayEffect.Log -> log(effect.record)
        }
    }

    private fun send(send: GatewayEffect.Send) {
        val exchange = open[send.requestId] ?: return
        val target = UpstreamTarget(send.upstream, send.address)
        val attempt = UpstreamAttempt(exchange, send.attempt, target, send.isStream, attempts)
        exchange.attempt = attempt
        exchange.held = null
        pool.acquire(target, send.needsNewConnection, send.maxConnections) { result ->
            result.fold(
                ifLeft = { cause ->
                    if (attempt.isRunning) {
                        attempt.cancel()
                        emit(GatewayEvent.ConnectFailed(send.requestId, send.attempt, cause))
                    }
                },
                ifRight = { connection ->
                    if (attempt.isRunning) {
                        start(attempt, connection, send)
                    } else {
                        pool.release(target, connection)
                    }
                }
            )
        }
    }

    /** Sends the request, unless its upstream stopped accepting requests during the connect. */
    private fun start(
        attempt: UpstreamAttempt,
        connection: UpstreamConnection,
        send: GatewayEffect.Send
    ) {
        val exchange = open[send.requestId]
        if (exchange != null && state.acceptsRequests(send.upstream, clock.now())) {
            attempt.start(connection, forwardedRequest(exchange, send, headers))
            return
        }
        attempt.cancel()
        pool.release(UpstreamTarget(send.upstream, send.address), connection)
        emit(
            GatewayEvent.ConnectFailed(send.requestId, send.attempt, ConnectFailure.UNWANTED)
        )
    }

    private fun withdraw(withdraw: GatewayEffect.CancelAttempt) {
        open[withdraw.requestId]?.attempt
            ?.takeIf { it.attemptNumber == withdraw.attempt }
            ?.cancel()
    }

    private fun deliver(id: RequestId) {
        val exchange = open[id] ?: return
        val held = exchange.held ?: return
        val attempt = exchange.attempt ?: return
        val status = held.status().code()
        if (exchange.isAnswerBegun) {
            exchange.connection.cut()
        } else {
            exchange.connection.sendWhole(held.retain())
        }
        emit(GatewayEvent.AnswerEnded(id, attempt.attemptNumber, status))
    }

    private fun refuse(refuse: GatewayEffect.Refuse) {
        val exchange = open[refuse.requestId] ?: return
        val outcome = when {
            refuse.status == STATUS_UNAVAILABLE -> RequestOutcome.REFUSED
            refuse.status < STATUS_SERVER_ERROR -> RequestOutcome.REJECTED
            else -> RequestOutcome.FAILED
        }
        finish(refuse.requestId, outcome)
        exchange.connection.sendError(
            refuse.status,
            refuse.reason.name.lowercase(),
            refuse.retryAfter
        )
    }

    private fun cut(id: RequestId) {
        val exchange = open[id] ?: return
        finish(id, RequestOutcome.CUT)
        exchange.connection.cut()
    }

    private fun checkAlive(check: GatewayEffect.CheckAlive) {
        pool.check(UpstreamTarget(check.upstream, check.address)) { isRefused ->
            if (isRefused) emit(GatewayEvent.UpstreamCrashed(check.upstream))
        }
    }

    private fun finish(id: RequestId, outcome: RequestOutcome) {
        val exchange = open.remove(id) ?: return
        openByConnection.remove(exchange.connection, exchange)
        metrics.ended(outcome, clock.now() - exchange.arrivedAt)
        exchange.attempt?.cancel()
        exchange.release()
    }

    private companion object {
        const val ID_RADIX = 36

        /** Share of the connections for callers, each of which may need one to an upstream. */
        const val CALLER_CONNECTION_SHARE = 0.6
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_UNAVAILABLE = 503

        /** Covers a few steps of an engine. */
        val PAUSE_REPORT_INTERVAL = 200.milliseconds

        /** A high quantile, since a single long pause makes an answer late. */
        const val PAUSE_QUANTILE = 0.9

        /** Shorter silences are not reported. */
        val MIN_REPORTED_SILENCE: Duration = 300.milliseconds
        val SWEEP_INTERVAL = 0.25.seconds
    }
}
