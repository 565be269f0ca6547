package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Step
import org.shallotplank.core.dissemination.DisseminationEffect.ReadinessChanged
import org.shallotplank.core.then

internal typealias DisseminationStep = Step<DisseminationState, DisseminationEffect>

/**
 * Gossip protocol that propagates configuration versions, notices and zone loads.
 *
 * Each process polls the manifest's key of the table, at intervals that grow with the number of
 * processes. It pushes a new version to a bounded number of peers, and periodic digests repair
 * lost pushes. Versions only rise: a manifest that is not newer than the known one is ignored,
 * whatever its source. A process that starts, or that was suspended, is not ready until it has
 * read the table again or, while the table is unavailable, received digests from several peers.
 *
 * [needs] selects the sections that this process uses; only these are fetched.
 */
public class Dissemination(
    private val settings: DisseminationSettings = DisseminationSettings(),
    private val random: Random,
    private val needs: (SectionName) -> Boolean = { true }
) {
    private val polling = TablePolling(settings, random)
    private val sections = SectionFetching(settings, random, needs)
    private val configuration = ConfigurationSpreading(settings, random)
    private val notices = NoticeSpreading(settings, random)
    private val digests = DigestExchange(settings, random, notices)

    /** The initial state of a process: it knows no version and is not ready. */
    public fun start(self: Peer, now: Instant): DisseminationState {
        val firstId = random.nextLong(0, Long.MAX_VALUE / 2)
        return DisseminationState(
            self = self,
            catchUp = CatchUp(firstId),
            timers = Timers(lastEventAt = now),
            nextId = firstId
        )
    }

    /** Applies [event]; returns the new state and the side effects to run. */
    public fun reduce(
        state: DisseminationState,
        event: DisseminationEvent
    ): Step<DisseminationState, DisseminationEffect> = detectSuspension(state, event.now)
        .then { apply(it, event) }
        .then { sections.request(it, event.now) }
        .then { putInForce(it) }
        .then { updateReadiness(it) }

    private fun apply(state: DisseminationState, event: DisseminationEvent): DisseminationStep =
        when (event) {
            is DisseminationEvent.Tick -> tick(state, event.now)
            is DisseminationEvent.TableRead -> polling.answered(state, event)
            is DisseminationEvent.MessageReceived -> receive(state, event)
            is DisseminationEvent.PeersChanged -> changePeers(state, event)
            is DisseminationEvent.SectionFetched ->
                sections.fetched(state, event.sha256, event.content, event.now)
            is DisseminationEvent.NoticeRaised ->
                notices.learn(state, persistentListOf(event.notice), null, event.now)
            is DisseminationEvent.LoadMeasured -> Step(measureLoad(state, event.load))
        }

    private fun tick(state: DisseminationState, now: Instant): DisseminationStep =
        DisseminationStep(expireSenders(notices.expire(state, now), now))
            .then { polling.tick(it, now) }
            .then { digests.tick(it, now) }
            .then { configuration.retry(it, now) }
            .then { sections.retry(it, now) }

    private fun receive(
        state: DisseminationState,
        event: DisseminationEvent.MessageReceived
    ): DisseminationStep {
        val withSender = recordSender(state, event)
        val now = event.now
        return when (val message = event.message) {
            is PeerMessage.Digest -> digests.received(withSender, event.from, message, now)
            is PeerMessage.ConfigurationPush ->
                configuration.pushed(withSender, event.from, message, now)
            is PeerMessage.ManifestRequest ->
                configuration.requested(withSender, event.from, message.known)
            is PeerMessage.SectionRequest ->
                sections.requested(withSender, event.from, message.sha256)
            is PeerMessage.SectionReply ->
                sections.fetched(withSender, message.sha256, message.content, now)
            is PeerMessage.Notices -> notices.learn(withSender, message.notices, event.from, now)
        }
    }

    /** Records a sender that is no chosen peer, up to a limit, so that it is treated like one. */
    private fun recordSender(
        state: DisseminationState,
        event: DisseminationEvent.MessageReceived
    ): DisseminationState {
        val links = state.links
        val isPeer = event.from in links.peers
        val hasRoom = links.senders.size < settings.maxSenders || event.from in links.senders
        val senders = if (isPeer || !hasRoom) {
            links.senders
        } else {
            links.senders.put(event.from, event.now)
        }
        return state.copy(links = links.copy(senders = senders, lastContactAt = event.now))
    }

    private fun expireSenders(state: DisseminationState, now: Instant): DisseminationState {
        val senders = state.links.senders
        val silent = senders.filterValues { now - it > settings.senderTimeout }.keys
        if (silent.isEmpty()) return state
        val kept = silent.fold(senders) { map, id -> map.remove(id) }
        return state.copy(links = state.links.copy(senders = kept))
    }

    private fun changePeers(
        state: DisseminationState,
        event: DisseminationEvent.PeersChanged
    ): DisseminationStep {
        val peers = event.peers.map { it.id }.filter { it != state.self.id }.toPersistentList()
        val senders = peers.fold(state.links.senders) { map, id -> map.remove(id) }
        val links = state.links.copy(
            peers = peers,
            senders = senders,
            memberCount = event.memberCount
        )
        return Step(state.copy(links = links))
    }

    private fun measureLoad(state: DisseminationState, load: ZoneLoad): DisseminationState {
        val last = state.loads[load.zone]
        val intervalMillis = settings.loadInterval.inWholeMilliseconds
        val isRecent =
            last != null && load.measuredAtMillis - last.measuredAtMillis < intervalMillis
        return if (isRecent) state else state.copy(loads = state.loads.put(load.zone, load))
    }

    /**
     * Resets readiness and timers after a suspension, so that the process catches up again before
     * it takes work. A gap between events above the limit counts as a suspension.
     */
    private fun detectSuspension(state: DisseminationState, now: Instant): DisseminationStep {
        val lastEventAt = state.timers.lastEventAt
        if (now - lastEventAt <= settings.pauseLimit) {
            val latest = maxOf(now, lastEventAt)
            return Step(state.copy(timers = state.timers.copy(lastEventAt = latest)))
        }
        val resumed = state.copy(
            isReady = false,
            catchUp = CatchUp(firstId = state.nextId),
            timers = Timers(lastEventAt = now)
        )
        return if (state.isReady) {
            Step(resumed, persistentListOf(ReadinessChanged(false)))
        } else {
            Step(resumed)
        }
    }

    private fun putInForce(state: DisseminationState): DisseminationStep {
        val manifest = state.known ?: return Step(state)
        if (manifest.version <= state.inForceVersion) return Step(state)
        val contents = sections.neededContents(state, manifest) ?: return Step(state)
        val effect = DisseminationEffect.ConfigurationInForce(manifest, contents)
        val delta = manifest.deltaFrom(state.inForce)
        val next = sections.dropUnreferenced(state.copy(inForce = manifest, lastDelta = delta))
        return DisseminationStep(next, persistentListOf(effect))
            .then { configuration.push(it) }
    }

    private fun updateReadiness(state: DisseminationState): DisseminationStep {
        if (state.isReady || !hasCaughtUp(state)) return Step(state)
        return Step(state.copy(isReady = true), persistentListOf(ReadinessChanged(true)))
    }

    private fun hasCaughtUp(state: DisseminationState): Boolean {
        val catchUp = state.catchUp
        val required = state.links.peers.size.coerceIn(1, settings.catchUpPeers)
        val peersSuffice = catchUp.tableFailed && catchUp.peersAnswered.size >= required
        return state.inForce != null &&
            state.inForceVersion == state.knownVersion &&
            state.inForceVersion >= catchUp.highestVersion &&
            (catchUp.tableAnswered || peersSuffice)
    }
}
