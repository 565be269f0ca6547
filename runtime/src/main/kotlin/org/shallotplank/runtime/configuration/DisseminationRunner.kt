package org.shallotplank.runtime.configuration

import kotlin.random.Random
import kotlin.time.Clock
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.core.InstanceId
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.dissemination.Dissemination
import org.shallotplank.core.dissemination.DisseminationEffect
import org.shallotplank.core.dissemination.DisseminationEvent
import org.shallotplank.core.dissemination.DisseminationSettings
import org.shallotplank.core.dissemination.Notice
import org.shallotplank.core.dissemination.Peer
import org.shallotplank.core.dissemination.PeerMessage
import org.shallotplank.core.dissemination.SectionName
import org.shallotplank.core.dissemination.TableReadResult
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.runtime.log.LogWriter
import org.shallotplank.runtime.platform.PlatformPorts

/** Callbacks through which dissemination passes its results and messages to the process. */
internal class DisseminationListener(
    val onConfiguration: suspend (Configuration) -> Unit,
    val onReadiness: suspend (isReady: Boolean) -> Unit,
    val onNotices: suspend (PersistentList<Notice>) -> Unit,
    /** Sends a message to a connected process; drops it when there is no connection. */
    val send: (to: InstanceId, message: PeerMessage) -> Unit
)

/** Runs the dissemination reducer of one process. */
internal class DisseminationRunner(
    private val self: Peer,
    platform: PlatformPorts,
    private val clock: Clock,
    random: Random,
    private val log: LogWriter,
    private val listener: DisseminationListener,
    needs: (SectionName) -> Boolean = { true },
    private val settings: DisseminationSettings = DisseminationSettings()
) {
    private val dissemination = Dissemination(settings, random, needs)
    private val store = ManifestStore(platform)
    private val events = Channel<DisseminationEvent>(EVENT_CAPACITY)

    @Volatile
    private var lastEventAt = clock.now()

    /**
     * Whether the process was suspended for longer than the pause limit.
     *
     * It then has to catch up before it takes work.
     */
    fun isStale(): Boolean = clock.now() - lastEventAt > settings.pauseLimit

    /** Starts the loop in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { runLoop(this) }
        scope.launch { tick() }
    }

    /** Queues a [message] that arrived from the peer [from]. */
    suspend fun received(from: InstanceId, message: PeerMessage): Unit =
        events.send(DisseminationEvent.MessageReceived(clock.now(), from, message))

    /** Sets the connected [peers] and the number of processes that share the table reads. */
    suspend fun peersChanged(peers: PersistentList<Peer>, memberCount: Int): Unit =
        events.send(DisseminationEvent.PeersChanged(clock.now(), peers, memberCount))

    /** Disseminates [notice] to all other processes. */
    suspend fun raise(notice: Notice): Unit =
        events.send(DisseminationEvent.NoticeRaised(clock.now(), notice))

    private suspend fun tick() {
        while (true) {
            events.send(DisseminationEvent.Tick(clock.now()))
            delay(settings.tickInterval)
        }
    }

    private suspend fun runLoop(scope: CoroutineScope) {
        var state = dissemination.start(self, clock.now())
        for (event in events) {
            val step = dissemination.reduce(state, event)
            state = step.state
            lastEventAt = event.now
            step.effects.forEach { perform(it, scope) }
        }
    }

    private suspend fun perform(effect: DisseminationEffect, scope: CoroutineScope) {
        when (effect) {
            is DisseminationEffect.ReadTable -> scope.launch { readTable(effect.readId) }
            is DisseminationEffect.FetchSection -> scope.launch {
                val content = store.readSection(effect.sha256)
                events.send(
                    DisseminationEvent.SectionFetched(clock.now(), effect.sha256, content)
                )
            }
            is DisseminationEffect.Send -> listener.send(effect.to, effect.message)
            is DisseminationEffect.ConfigurationInForce -> listener.onConfiguration(
                ConfigurationSections.join(effect.manifest.version, effect.contents)
            )
            is DisseminationEffect.ReadinessChanged -> listener.onReadiness(effect.isReady)
            is DisseminationEffect.NoticesLearned -> listener.onNotices(effect.notices)
        }
    }

    private suspend fun readTable(readId: Long) {
        val result = store.read()
        if (result == TableReadResult.Unavailable) {
            log(logRecord(LogEvent.CONFIGURATION_UNAVAILABLE, "instance" to self.id))
        }
        events.send(DisseminationEvent.TableRead(clock.now(), readId, result))
    }

    private companion object {
        const val EVENT_CAPACITY = 1024
    }
}
