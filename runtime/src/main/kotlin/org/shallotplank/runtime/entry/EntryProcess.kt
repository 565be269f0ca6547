package org.shallotplank.runtime.entry

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.config.EntrySettings
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.RequestId
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.dissemination.Notice
import org.shallotplank.core.dissemination.Peer
import org.shallotplank.core.entry.EntryEffect
import org.shallotplank.core.entry.EntryEvent
import org.shallotplank.core.entry.EntryIdentity
import org.shallotplank.core.entry.EntryState
import org.shallotplank.core.entry.IncomingCall
import org.shallotplank.core.entry.KnownUpstream
import org.shallotplank.core.entry.on
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.Crash
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.runtime.EventLoop
import org.shallotplank.runtime.ExecutionRecordStore
import org.shallotplank.runtime.MetricName
import org.shallotplank.runtime.ProcessContext
import org.shallotplank.runtime.RunningProcess
import org.shallotplank.runtime.admin.AdminServer
import org.shallotplank.runtime.admin.ProcessStatus
import org.shallotplank.runtime.admin.UpstreamStatus
import org.shallotplank.runtime.admin.zoneStatuses
import org.shallotplank.runtime.configuration.DisseminationListener
import org.shallotplank.runtime.configuration.DisseminationRunner
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.wire.ClusterKey
import org.shallotplank.wire.Frame
import org.shallotplank.wire.PeerIdentity

/**
 * Runs the entry reducer.
 *
 * Serves callers, maintains the connections to agents and polls the instance list.
 */
internal class EntryProcess(
    private val settings: EntrySettings,
    key: ClusterKey,
    private val platform: PlatformPorts,
    private val context: ProcessContext
) : RunningProcess {
    private val records = ExecutionRecordStore(platform)
    private val answers = CallerAnswers(onOverflow = { id ->
        context.scope.launch { loop.send(EntryEvent.CallerLeft(id)) }
    })
    private val links = AgentLinks(
        self = PeerIdentity(settings.instanceId, InstanceRole.ENTRY),
        key = key,
        scope = context.scope,
        random = context.random,
        log = context.log,
        listener = AgentLinkListener(
            onConnected = ::onConnected,
            onDisconnected = ::onDisconnected,
            onFrame = ::onFrame
        )
    )
    private val dissemination = DisseminationRunner(
        self = Peer(settings.instanceId, settings.zone, settings.region),
        platform = platform,
        clock = context.clock,
        random = context.random,
        log = context.log,
        listener = DisseminationListener(
            onConfiguration = { loop.send(EntryEvent.ConfigurationAccepted(it)) },
            onReadiness = { loop.send(EntryEvent.ReadinessChanged(it)) },
            onNotices = ::onNotices,
            send = { to, message -> links.send(to, Frame.Peer(message)) }
        )
    )
    private val loop: EventLoop<EntryState, EntryEvent, EntryEffect> = EventLoop(
        initial = EntryState(
            EntryIdentity(
                settings.instanceId,
                settings.zone,
                settings.region,
                settings.listenAddress,
                settings.drainTimeout
            )
        ),
        reduce = { state, event, now, random -> state.on(event, now, random) },
        clock = context.clock,
        random = context.random,
        perform = ::perform,
        interrupt = {
            if (dissemination.isStale()) EntryEvent.ReadinessChanged(isReady = false) else null
        }
    )
    private val server = EntryServer(
        settings = settings,
        ports = EntryServerPorts(
            submit = ::submit,
            callerLeft = ::callerLeft,
            entries = { zone, spread -> loop.state.advertisedEntries(zone, spread) }
        ),
        metrics = context.metrics,
        clock = context.clock
    )
    private val admin = AdminServer(
        address = settings.adminAddress,
        isReady = { loop.state.isReady },
        scrape = context.metrics::scrape,
        status = ::status
    )

    override suspend fun start() {
        publishGauges()
        admin.start()
        context.scope.launch { loop.run() }
        dissemination.start(context.scope)
        context.scope.launch { tick() }
        context.scope.launch { listInstances() }
        server.start()
        context.log(
            logRecord(
                LogEvent.PROCESS_STARTED,
                "role" to "entry",
                "instance" to settings.instanceId,
                "zone" to settings.zone,
                "listen" to settings.listenAddress
            )
        )
    }

    override suspend fun requestStop() {
        val expiresAt = context.clock.now() + LEAVING_TIME_TO_LIVE
        dissemination.raise(Notice.Leaving(settings.instanceId, incarnation = 0, expiresAt))
        loop.send(EntryEvent.StopRequested)
    }

    override fun close() {
        server.stop(CLOSING_GRACE)
        links.close()
        admin.stop()
    }

    private suspend fun submit(call: IncomingCall): ReceiveChannel<AnswerPart> {
        val parts = answers.open(call.requestId)
        loop.send(EntryEvent.Arrived(call))
        return parts
    }

    private suspend fun callerLeft(id: RequestId) {
        answers.close(id)
        loop.send(EntryEvent.CallerLeft(id))
    }

    private suspend fun onConnected(instance: InstanceId) {
        loop.send(EntryEvent.Connected(instance))
        peersChanged()
    }

    private suspend fun onDisconnected(instance: InstanceId) {
        loop.send(EntryEvent.Disconnected(instance))
        peersChanged()
    }

    private suspend fun onFrame(from: InstanceId, frame: Frame) {
        when (frame) {
            is Frame.Reply ->
                loop.send(
                    EntryEvent.Replied(from, frame.requestId, frame.attemptId, frame.reply)
                )
            is Frame.Report ->
                if (frame.report.instance == from) loop.send(EntryEvent.Reported(frame.report))
            is Frame.Peer -> dissemination.received(from, frame.message)
            else -> Unit
        }
    }

    private suspend fun onNotices(notices: PersistentList<Notice>) {
        for (notice in notices) {
            when (notice) {
                is Notice.Leaving ->
                    loop.send(EntryEvent.LeavingLearned(notice.instance, notice.expiresAt))
                is Notice.Crashed -> loop.send(EntryEvent.CrashLearned(notice.record()))
            }
        }
    }

    private fun Notice.Crashed.record() = CrashRecord(
        fingerprint = fingerprint,
        crashes = listOf(Crash(attempt, at)).toPersistentList(),
        expiresAt = expiresAt
    )

    private suspend fun peersChanged() {
        val peers = loop.state.upstreams.values
            .filter { it.view.id in links.connected }
            .map { Peer(it.view.id, it.view.zone, it.view.region) }
            .toPersistentList()
        val readerCount = loop.state.listing.entries.size.coerceAtLeast(1)
        dissemination.peersChanged(peers, memberCount = readerCount)
    }

    private fun perform(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.Connect -> links.connect(effect.instance, effect.address)
            is EntryEffect.Disconnect -> links.disconnect(effect.instance)
            is EntryEffect.Offer -> offer(effect)
            is EntryEffect.Cancel ->
                links.send(effect.to, Frame.Cancel(effect.requestId, effect.attemptId))
            is EntryEffect.LookUp -> context.scope.launch {
                val outcome = records.read(effect.key)
                loop.send(EntryEvent.LookedUp(effect.requestId, outcome))
            }
            is EntryEffect.ShareCrash -> context.scope.launch { share(effect.record) }
            is EntryEffect.Log -> context.log(effect.record)
            EntryEffect.Exit -> context.exit.complete(Unit)
            else -> answer(effect)
        }
    }

    private fun answer(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.AnswerWhole ->
                answers.put(effect.requestId, AnswerPart.Whole(effect.head, effect.body))
            is EntryEffect.AnswerBegin ->
                answers.put(effect.requestId, AnswerPart.Begin(effect.head))
            is EntryEffect.AnswerContinue ->
                answers.put(effect.requestId, AnswerPart.Continue(effect.payload))
            is EntryEffect.AnswerEnd -> answers.put(effect.requestId, AnswerPart.End)
            is EntryEffect.AnswerCut ->
                answers.put(effect.requestId, AnswerPart.Cut(effect.refusal))
            is EntryEffect.Refuse ->
                answers.put(effect.requestId, AnswerPart.Refused(effect.refusal))
            is EntryEffect.Reject ->
                answers.put(effect.requestId, AnswerPart.Rejected(effect.rejection))
            else -> Unit
        }
    }

    private fun offer(effect: EntryEffect.Offer) {
        if (links.send(effect.to, Frame.Offer(effect.offer))) return
        context.scope.launch {
            loop.send(EntryEvent.OfferUnsent(effect.offer.requestId, effect.offer.attemptId))
        }
    }

    private suspend fun share(record: CrashRecord) {
        for (crash in record.crashes) {
            dissemination.raise(
                Notice.Crashed(record.fingerprint, crash.attempt, crash.at, record.expiresAt)
            )
        }
    }

    private suspend fun tick() {
        while (true) {
            loop.send(EntryEvent.Tick)
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun listInstances() {
        while (true) {
            val instances = platform.listInstances()
            if (instances == null) {
                context.log(logRecord(LogEvent.INSTANCE_LIST_UNAVAILABLE))
            } else {
                loop.send(EntryEvent.InstancesListed(instances))
            }
            delay(LIST_INTERVAL)
        }
    }

    private fun publishGauges() {
        val metrics = context.metrics
        metrics.gauge(MetricName.IN_FLIGHT) { loop.state.calls.size }
        metrics.gauge(MetricName.CONNECTED_AGENTS) { links.connected.size }
        metrics.gauge(MetricName.CONFIGURATION_VERSION) {
            loop.state.configuration?.version?.value ?: 0
        }
    }

    private fun status(): ProcessStatus {
        val state = loop.state
        return ProcessStatus(
            instance = settings.instanceId,
            role = InstanceRole.ENTRY,
            zone = settings.zone,
            configurationVersion = state.configuration?.version ?: ConfigurationVersion.None,
            ready = state.isReady,
            draining = state.drainingSince != null,
            inFlight = state.calls.size,
            zones = zoneStatuses(state.configuration),
            upstreams = state.upstreams.values.map { it.status() }.sortedBy { it.instance.value }
        )
    }

    private fun KnownUpstream.status(): UpstreamStatus =
        report?.let { UpstreamStatus.of(it, connected) } ?: UpstreamStatus(
            instance = view.id,
            service = service,
            zone = view.zone,
            state = UpstreamState.GONE,
            connected = connected,
            concurrency = 0,
            running = 0,
            queued = 0,
            configurationVersion = ConfigurationVersion.None
        )

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        val LIST_INTERVAL = 1.seconds
        val LEAVING_TIME_TO_LIVE = 10.seconds
        val CLOSING_GRACE = 500.milliseconds
    }
}
