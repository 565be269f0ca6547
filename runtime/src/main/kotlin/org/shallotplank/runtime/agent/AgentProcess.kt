package org.shallotplank.runtime.agent

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.config.AgentSettings
import org.shallotplank.core.AttemptId
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.agent.AgentEffect
import org.shallotplank.core.agent.AgentEvent
import org.shallotplank.core.agent.AgentIdentity
import org.shallotplank.core.agent.AgentState
import org.shallotplank.core.agent.ConnectionId
import org.shallotplank.core.agent.on
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.dissemination.DisseminationSettings
import org.shallotplank.core.dissemination.Peer
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.runtime.EventLoop
import org.shallotplank.runtime.ExecutionRecordStore
import org.shallotplank.runtime.MetricName
import org.shallotplank.runtime.ProcessContext
import org.shallotplank.runtime.RunningProcess
import org.shallotplank.runtime.admin.AdminServer
import org.shallotplank.runtime.admin.ProcessStatus
import org.shallotplank.runtime.admin.UpstreamStatus
import org.shallotplank.runtime.admin.zoneStatuses
import org.shallotplank.runtime.configuration.ConfigurationSections
import org.shallotplank.runtime.configuration.DisseminationListener
import org.shallotplank.runtime.configuration.DisseminationRunner
import org.shallotplank.runtime.link.FrameLink
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.wire.AuthenticationException
import org.shallotplank.wire.ClusterKey
import org.shallotplank.wire.Frame
import org.shallotplank.wire.FrameConnection
import org.shallotplank.wire.PeerIdentity

/**
 * Runs the agent reducer.
 *
 * Accepts connections from entries, calls the upstream and keeps execution records in the
 * platform's table.
 */
internal class AgentProcess(
    private val settings: AgentSettings,
    private val key: ClusterKey,
    platform: PlatformPorts,
    private val upstream: UpstreamPorts,
    private val context: ProcessContext
) : RunningProcess {
    private val records = ExecutionRecordStore(platform)
    private val selector = SelectorManager(Dispatchers.IO)
    private val self = PeerIdentity(settings.instanceId, InstanceRole.UPSTREAM)
    private val connectionIds = AtomicLong()
    private val connections = ConcurrentHashMap<ConnectionId, EntryConnection>()
    private val upstreamCalls = ConcurrentHashMap<AttemptId, Job>()
    private val dissemination = DisseminationRunner(
        self = Peer(settings.instanceId, settings.zone, settings.region),
        platform = platform,
        clock = context.clock,
        random = context.random,
        log = context.log,
        listener = DisseminationListener(
            onConfiguration = { loop.send(AgentEvent.ConfigurationAccepted(it)) },
            onReadiness = { loop.send(AgentEvent.ReadinessChanged(it)) },
            onNotices = {},
            send = { to, message -> connectionOf(to)?.link?.send(Frame.Peer(message)) }
        ),
        needs = { ConfigurationSections.isNeededByAgent(it, settings.service) },
        settings = DisseminationSettings.ForAgents.copy(forwardsPushes = true)
    )
    private val loop: EventLoop<AgentState, AgentEvent, AgentEffect> = EventLoop(
        initial = AgentState(
            AgentIdentity(
                settings.instanceId,
                settings.service,
                settings.zone,
                settings.drainTimeout,
                incarnation = context.random.nextLong()
            )
        ),
        reduce = { state, event, now, random -> state.on(event, now, random) },
        clock = context.clock,
        random = context.random,
        perform = ::perform,
        interrupt = {
            if (dissemination.isStale()) AgentEvent.ReadinessChanged(isReady = false) else null
        }
    )
    private val admin = AdminServer(
        address = settings.adminAddress,
        isReady = { loop.state.isReady && loop.state.drainingSince == null },
        scrape = context.metrics::scrape,
        status = ::status
    )
    private var server: ServerSocket? = null

    private class EntryConnection(val entry: InstanceId, val link: FrameLink)

    override suspend fun start() {
        val socket = aSocket(selector).tcp()
            .bind(settings.listenAddress.host, settings.listenAddress.port)
        server = socket
        publishGauges()
        admin.start()
        context.scope.launch { loop.run() }
        dissemination.start(context.scope)
        context.scope.launch { accept(socket) }
        context.scope.launch { tick() }
        context.scope.launch { pollLoad() }
        context.log(
            logRecord(
                LogEvent.PROCESS_STARTED,
                "role" to "agent",
                "instance" to settings.instanceId,
                "service" to settings.service,
                "zone" to settings.zone,
                "listen" to settings.listenAddress
            )
        )
    }

    override suspend fun requestStop(): Unit = loop.send(AgentEvent.StopRequested)

    override fun close() {
        server?.close()
        connections.values.forEach { it.link.close() }
        admin.stop()
    }

    private suspend fun accept(socket: ServerSocket) {
        while (true) {
            val accepted = socket.accept()
            context.scope.launch { serve(accepted) }
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = try {
            FrameConnection.accept(socket, self, key)
        } catch (e: AuthenticationException) {
            return logRefusedPeer(e)
        } catch (e: IOException) {
            return logRefusedPeer(e)
        } catch (e: TimeoutCancellationException) {
            return logRefusedPeer(e)
        }
        val id = ConnectionId(connectionIds.incrementAndGet())
        val link = FrameLink(connection)
        connections[id] = EntryConnection(connection.peer.id, link)
        context.log(logRecord(LogEvent.ENTRY_CONNECTED, "entry" to connection.peer.id))
        peersChanged()
        link.send(Frame.Report(loop.state.report()))
        try {
            link.run { onFrame(id, connection.peer.id, it) }
        } finally {
            connections.remove(id)
            context.log(logRecord(LogEvent.ENTRY_DISCONNECTED, "entry" to connection.peer.id))
            loop.send(AgentEvent.ConnectionClosed(id))
            peersChanged()
        }
    }

    private fun logRefusedPeer(failure: Exception): Unit =
        context.log(logRecord(LogEvent.AUTHENTICATION_FAILED, "error" to failure.message))

    private suspend fun onFrame(id: ConnectionId, entry: InstanceId, frame: Frame) {
        when (frame) {
            is Frame.Offer -> loop.send(AgentEvent.Offered(id, frame.offer))
            is Frame.Cancel -> loop.send(AgentEvent.Cancelled(frame.attemptId))
            is Frame.Peer -> dissemination.received(entry, frame.message)
            else -> Unit
        }
    }

    private suspend fun peersChanged() {
        val peers = connections.values.map { it.entry }.distinct()
            .map { Peer(it, settings.zone, settings.region) }
            .toPersistentList()
        dissemination.peersChanged(peers, memberCount = peers.size + 1)
    }

    private fun connectionOf(entry: InstanceId): EntryConnection? =
        connections.values.firstOrNull { it.entry == entry }

    private fun perform(effect: AgentEffect) {
        when (effect) {
            is AgentEffect.Reply -> connections[effect.connection]?.link?.send(
                Frame.Reply(effect.requestId, effect.attemptId, effect.reply)
            )
            is AgentEffect.CallUpstream -> callUpstream(effect.offer)
            is AgentEffect.AbortUpstream -> upstreamCalls.remove(effect.attemptId)?.cancel()
            is AgentEffect.WriteRecord -> context.scope.launch { write(effect) }
            is AgentEffect.ReadRecord -> context.scope.launch { read(effect) }
            is AgentEffect.Broadcast ->
                connections.values.forEach { it.link.send(Frame.Report(effect.report)) }
            is AgentEffect.Log -> context.log(effect.record)
            AgentEffect.Exit -> context.exit.complete(Unit)
        }
    }

    private fun callUpstream(offer: AttemptOffer) {
        val id = offer.attemptId
        val sink = AnswerSink(
            onHead = { loop.send(AgentEvent.AnswerStarted(id, it)) },
            onChunk = { eventId, payload ->
                loop.send(AgentEvent.AnswerContinued(id, eventId, payload))
            }
        )
        val job = context.scope.launch {
            val event = when (upstream.call(offer, sink)) {
                UpstreamEnd.Whole -> AgentEvent.AnswerEnded(id)
                UpstreamEnd.NeverSent -> AgentEvent.UpstreamFailed(id, sent = false)
                UpstreamEnd.Lost -> AgentEvent.UpstreamFailed(id, sent = true)
            }
            loop.send(event)
        }
        upstreamCalls[id] = job
        job.invokeOnCompletion { upstreamCalls.remove(id, job) }
    }

    private suspend fun write(effect: AgentEffect.WriteRecord) {
        val outcome = records.write(effect.key, effect.expectedVersion, effect.record)
        loop.send(AgentEvent.WriteEnded(effect.attemptId, effect.record.state, outcome))
    }

    private suspend fun read(effect: AgentEffect.ReadRecord) {
        val outcome = records.read(effect.key)
        loop.send(AgentEvent.ReadEnded(effect.attemptId, outcome))
    }

    private suspend fun tick() {
        while (true) {
            loop.send(AgentEvent.Tick)
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun pollLoad() {
        while (true) {
            val load = upstream.readLoad()
            val event = load?.let {
                AgentEvent.LoadReported(
                    incarnation = it.incarnation,
                    running = it.running,
                    queued = it.queued,
                    step = it.stepMillis.milliseconds,
                    cold = it.cold,
                    cachedPrefixes = it.cachedPrefixes.take(MAX_REPORTED_PREFIXES)
                        .toPersistentList()
                )
            } ?: AgentEvent.UpstreamUnreachable
            loop.send(event)
            delay(LOAD_INTERVAL)
        }
    }

    private fun publishGauges() {
        val metrics = context.metrics
        metrics.gauge(MetricName.UPSTREAM_CONCURRENCY) { loop.state.limit.concurrency }
        metrics.gauge(MetricName.UPSTREAM_RUNNING) { loop.state.runningCount }
        metrics.gauge(MetricName.UPSTREAM_QUEUED) { loop.state.queue.waitingCount }
        metrics.gauge(MetricName.IN_FLIGHT) { loop.state.attempts.size }
        metrics.gauge(MetricName.CONFIGURATION_VERSION) {
            loop.state.configuration?.version?.value ?: 0
        }
    }

    private fun status(): ProcessStatus {
        val state = loop.state
        return ProcessStatus(
            instance = settings.instanceId,
            role = InstanceRole.UPSTREAM,
            zone = settings.zone,
            configurationVersion = state.configuration?.version ?: ConfigurationVersion.None,
            ready = state.isReady,
            draining = state.drainingSince != null,
            inFlight = state.attempts.size,
            zones = zoneStatuses(state.configuration),
            upstreams = listOf(UpstreamStatus.of(state.report(), connected = true))
        )
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        val LOAD_INTERVAL = 500.milliseconds
        const val MAX_REPORTED_PREFIXES = 64
    }
}
