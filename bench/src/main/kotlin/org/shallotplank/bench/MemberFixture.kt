package org.shallotplank.bench

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.ZoneName
import org.shallotplank.core.dissemination.Dissemination
import org.shallotplank.core.dissemination.DisseminationEffect
import org.shallotplank.core.dissemination.DisseminationEvent
import org.shallotplank.core.dissemination.Manifest
import org.shallotplank.core.dissemination.Notice
import org.shallotplank.core.dissemination.PeerMessage
import org.shallotplank.core.dissemination.SectionName
import org.shallotplank.core.dissemination.TableReadResult
import org.shallotplank.core.dissemination.ZoneLoad

/**
 * Runs one member with the real reducer, codec and timers. Its peers are fakes, which send the
 * messages that peers in [system] would send at the stated rates of changes and restarts.
 */
internal class MemberFixture(
    private val system: SyntheticSystem,
    private val member: Instance,
    seed: Long
) {
    private val random = Random(seed)
    private val configuration = SyntheticConfiguration(SECTIONS, SECTION_BYTES)
    private val ownSection = SectionName("section/0000")
    private val isEntry = member.role == InstanceRole.ENTRY
    private val settings = settingsOf(member.role)
    private val dissemination =
        Dissemination(settings, Random(seed + 1)) { isEntry || it == ownSection }
    private val links = system.links.getValue(member.id).toList()
    private val agentIds = system.agents.mapTo(HashSet()) { it.id }
    private var now = Instant.fromEpochSeconds(0)
    private var state = dissemination.start(member.asPeer(), now)
    private val inbox = PriorityQueue(compareBy<Due> { it.at })
    private var previous: Manifest? = null
    private var noticeHash = 0L
    val traffic = Traffic()

    /** Runs the member for [duration] of virtual time and returns its traffic in that time. */
    fun run(duration: Duration): Traffic {
        start()
        val end = now + duration
        var nextChangeAt = now + CHANGE_INTERVAL
        var nextNoticeAt = now + NOTICE_INTERVAL
        while (now < end) {
            now += settings.tickInterval
            if (now >= nextChangeAt) {
                change()
                nextChangeAt += CHANGE_INTERVAL
            }
            if (now >= nextNoticeAt) {
                raiseNotice()
                nextNoticeAt += NOTICE_INTERVAL
            }
            sendDigests()
            deliver()
            apply(DisseminationEvent.Tick(now))
        }
        traffic.seconds = duration.inWholeSeconds
        return traffic
    }

    private fun start() {
        val peers = system.peers.getValue(member.id)
        apply(DisseminationEvent.PeersChanged(now, peers, system.entries.size))
        apply(DisseminationEvent.Tick(now))
        repeat(START_ROUNDS) { deliver(ignoreTime = true) }
        check(state.isReady) { "the member did not become ready in its start rounds" }
        traffic.clear()
    }

    private fun change() {
        previous = configuration.manifest
        configuration.change()
        val message = PeerMessage.ConfigurationPush(configuration.manifest.deltaFrom(previous))
        pushFromLinks(message)
    }

    private fun raiseNotice() {
        val instance = system.instances.random(random).id
        val notice = Notice.Leaving(instance, random.nextLong(), now + NOTICE_LIFETIME)
        pushFromLinks(PeerMessage.Notices(persistentListOf(notice)))
    }

    /** Each linked entry pushes to the member with the probability that its fanout gives. */
    private fun pushFromLinks(message: PeerMessage) =
        links.filter { it !in agentIds }.forEach { peer ->
            if (random.nextDouble() < settings.pushFanout.toDouble() / degree(peer)) {
                queue(
                    peer,
                    message,
                    random.nextLong(MAX_PUSH_DELAY.inWholeMilliseconds).milliseconds
                )
            }
        }

    private fun sendDigests() {
        links.forEach { peer ->
            val isAgent = peer in agentIds
            val role = if (isAgent) InstanceRole.UPSTREAM else InstanceRole.ENTRY
            val chancePerLink = settings.tickInterval / settingsOf(role).digestInterval
            if (random.nextDouble() < chancePerLink / degree(peer)) {
                val hasLoads = !isAgent && isEntry && hasLoads()
                queue(peer, digest(probe = random.nextLong(), isReply = false, hasLoads))
            }
        }
    }

    private fun hasLoads(): Boolean =
        random.nextDouble() < settings.digestInterval / settings.loadInterval

    private fun digest(probe: Long, isReply: Boolean, hasLoads: Boolean) = PeerMessage.Digest(
        version = configuration.manifest.version,
        noticeHash = noticeHash,
        probe = probe,
        isReply = isReply,
        loads = if (hasLoads) zoneLoads() else persistentListOf()
    )

    private fun zoneLoads() = (0 until StatedSize.ZONES)
        .map {
            ZoneLoad(
                ZoneName("zone-$it"),
                requests = 9000,
                capacityRequests = 12000,
                now.toEpochMilliseconds()
            )
        }
        .toPersistentList()

    private fun queue(from: InstanceId, message: PeerMessage, delay: Duration = Duration.ZERO) {
        inbox += Due(now + delay, from, PeerCodec.encode(message))
    }

    private fun deliver(ignoreTime: Boolean = false) {
        while (inbox.isNotEmpty() && (ignoreTime || inbox.peek().at <= now)) {
            val due = inbox.poll()
            receive(due)
        }
    }

    private fun receive(due: Due) {
        traffic.received(due.bytes.size)
        val startedNanos = System.nanoTime()
        val message = PeerCodec.decode(due.bytes)
        val step = dissemination.reduce(
            state,
            DisseminationEvent.MessageReceived(now, due.from, message)
        )
        state = step.state
        val sent = step.effects.filterIsInstance<DisseminationEffect.Send>()
            .map { it to PeerCodec.encode(it.message) }
        traffic.messageNanos += System.nanoTime() - startedNanos
        sent.forEach { (send, bytes) -> answer(send, bytes) }
        step.effects.forEach { runEffect(it) }
    }

    private fun apply(event: DisseminationEvent) {
        val startedNanos = System.nanoTime()
        val step = dissemination.reduce(state, event)
        state = step.state
        val sent = step.effects.filterIsInstance<DisseminationEffect.Send>()
            .map { it to PeerCodec.encode(it.message) }
        traffic.timerNanos += System.nanoTime() - startedNanos
        sent.forEach { (send, bytes) -> answer(send, bytes) }
        step.effects.forEach { runEffect(it) }
    }

    /** Answers a message of the member as a peer with an up-to-date configuration would. */
    private fun answer(send: DisseminationEffect.Send, bytes: ByteArray) {
        traffic.sent(bytes.size)
        when (val message = send.message) {
            is PeerMessage.Digest -> {
                noticeHash = message.noticeHash
                if (!message.isReply) {
                    queue(send.to, digest(message.probe, isReply = true, message.loads.any()))
                }
            }
            is PeerMessage.SectionRequest -> queue(
                send.to,
                PeerMessage.SectionReply(message.sha256, configuration.content(message.sha256))
            )
            is PeerMessage.ConfigurationPush -> requestSection(send.to, message)
            else -> Unit
        }
    }

    /**
     * A peer requests a section from the sender of the first push that it receives. The member is
     * that sender with a probability of one over the number of pushes; an agent needs only the
     * sections of its own service.
     */
    private fun requestSection(peer: InstanceId, push: PeerMessage.ConfigurationPush) {
        val needed = if (peer in agentIds) 1.0 / StatedSize.SERVICES else 1.0
        val pushes = minOf(settings.pushFanout, degree(peer))
        if (random.nextDouble() < needed / pushes) {
            queue(peer, PeerMessage.SectionRequest(push.delta.changed.first().sha256))
        }
    }

    private fun runEffect(effect: DisseminationEffect) = when (effect) {
        is DisseminationEffect.ReadTable -> {
            traffic.tableReads++
            val result = TableReadResult.Found(configuration.manifest)
            apply(DisseminationEvent.TableRead(now, effect.readId, result))
        }
        is DisseminationEffect.FetchSection -> {
            val content = configuration.content(effect.sha256)
            apply(DisseminationEvent.SectionFetched(now, effect.sha256, content))
        }
        else -> Unit
    }

    private fun degree(peer: InstanceId): Int = system.links.getValue(peer).size

    private class Due(val at: Instant, val from: InstanceId, val bytes: ByteArray)

    companion object {
        const val SECTIONS = 216
        const val SECTION_BYTES = 4_800
        private const val START_ROUNDS = 20
        private const val RESTARTS_PER_DAY = 1_556
        private val CHANGE_INTERVAL =
            (StatedSize.SECONDS_PER_DAY / StatedSize.CHANGES_PER_DAY).seconds
        private val NOTICE_INTERVAL = (StatedSize.SECONDS_PER_DAY / RESTARTS_PER_DAY).seconds
        private val NOTICE_LIFETIME = 10.minutes
        private val MAX_PUSH_DELAY = 500.milliseconds
    }
}

/** Counts of messages, bytes, table reads and processor time of one member. */
internal class Traffic {
    var seconds = 0L
    var tableReads = 0L
    var messageNanos = 0L
    var timerNanos = 0L
    var receivedMessages = 0L
        private set
    var receivedBytes = 0L
        private set
    var sentMessages = 0L
        private set
    var sentBytes = 0L
        private set

    fun received(bodyBytes: Int) {
        receivedMessages++
        receivedBytes += bodyBytes + PeerCodec.OVERHEAD_BYTES
    }

    fun sent(bodyBytes: Int) {
        sentMessages++
        sentBytes += bodyBytes + PeerCodec.OVERHEAD_BYTES
    }

    fun clear() {
        receivedMessages = 0
        receivedBytes = 0
        sentMessages = 0
        sentBytes = 0
        messageNanos = 0
        timerNanos = 0
        tableReads = 0
    }
}
