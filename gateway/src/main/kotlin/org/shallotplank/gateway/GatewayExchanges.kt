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
import org.shallotplank.core.gateway.AttemptProgress
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewayRequest
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.UpstreamKey
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
import org.shallotplank.gateway.upstream.UpstreamPool

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
    private val open = OpenExchanges { outcome, exchange ->
        metrics.ended(outcome, clock.now() - exchange.arrivedAt)
    }
    private val effects = EffectRunner(
        open = open,
        pool = pool,
        headers = headers,
        attempts = attempts,
        clock = clock,
        state = { state },
        emit = ::emit,
        onCrash = { onCrash(it) },
        onPromptCrash = { onPromptCrash(it) },
        onNotice = { onNotice(it) },
        log = log
    )
    private val events = ArrayDeque<GatewayEvent>()
    private var isReducing = false
    private var requestCount = 0L
    private val pauses = PauseReports(clock.now())
    private var sweptAt: Instant = clock.now()

    /** Counts messages of other processes in the budget of this one. */
    val messages: MessageMemory get() = budget

    /** Called with each crash that the reducer attributes to a request. */
    var onCrash: (CrashRecord) -> Unit = {}

    /** Called with each upstream that crashed with requests whose prompts may be the cause. */
    var onPromptCrash: (upstream: String) -> Unit = {}

    /** Called with each upstream that announced something else about itself than before. */
    var onNotice: (UpstreamKey) -> Unit = {}

    /** The state after the last event. */
    var state = GatewayState(settings.toReducerSettings())
        private set

    val openCount: Int get() = open.size

    override val limits: CallerLimits get() = state.routes?.limits ?: CallerLimits()

    override val isStopping: Boolean get() = state.isStopping

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
        transition.effects.forEach(effects::perform)
        if (event is GatewayEvent.AnswerEnded) open.finish(event.requestId, RequestOutcome.ANSWERED)
    }

    /** Reports the time and silent upstreams to the reducer; closes overdue connections. */
    fun tick(now: Instant) {
        for (exchange in open.all) {
            val attempt = exchange.attempt?.takeIf { it.isRunning } ?: continue
            val silence = attempt.timeSinceProgress(now)
            if (silence >= MIN_REPORTED_SILENCE) {
                emit(GatewayEvent.AttemptSilent(exchange.id, attempt.attemptNumber, silence))
            }
        }
        if (state.needsProgress) reportProgress()
        pauses.takeDue(now)?.let { emit(GatewayEvent.PausesObserved(it)) }
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
        val received = open.all.mapNotNull { exchange ->
            val attempt = exchange.attempt?.takeIf { it.isRunning && it.eventCount > 0 }
            attempt?.let { exchange.id to AttemptProgress(it.attemptNumber, it.eventCount) }
        }
        if (received.isEmpty()) return
        emit(GatewayEvent.StreamsProgressed(received.toMap().toPersistentMap()))
    }

    private fun recordPause(upstream: UpstreamKey, pause: Duration) {
        val service = state.upstreams[upstream]?.record?.service ?: return
        pauses.record(service, pause)
    }

    override fun onRequest(connection: CallerConnection, message: CallerMessage) {
        requestCount++
        val now = clock.now()
        val incarnation = environment.incarnation.toString(ID_RADIX)
        val id = RequestId("${settings.instanceId}-$incarnation-$requestCount")
        val exchange = Exchange(id, connection, message, now)
        open.add(exchange)
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
        val exchange = open.of(connection) ?: return
        emit(GatewayEvent.CallerLeft(exchange.id))
        open.finish(exchange.id, RequestOutcome.CALLER_LEFT)
    }

    override fun onWritable(connection: CallerConnection, isWritable: Boolean) {
        open.of(connection)?.attempt?.setReading(isWritable)
    }

    private companion object {
        const val ID_RADIX = 36

        /** Share of the connections for callers, each of which may need one to an upstream. */
        const val CALLER_CONNECTION_SHARE = 0.6

        /** Shorter silences are not reported. */
        val MIN_REPORTED_SILENCE: Duration = 300.milliseconds
        val SWEEP_INTERVAL = 0.25.seconds
    }
}
