package org.shallotplank.core.dissemination

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/**
 * Simulates eight processes in two regions on a virtual clock and a faulty network.
 *
 * The processes run the real reducers.
 */
internal class FuzzedProcesses(seed: Long) {
    private val random = Random(seed)
    private val queue = PriorityQueue(compareBy<Due> { it.at }.thenBy { it.order })
    private var order = 0L
    var now: Instant = Instant.fromEpochSeconds(0)
        private set
    val platform = FuzzedPlatform()
    val processes = (0 until PROCESSES).map { FuzzedProcess(peer(it), Random(seed + it)) }
    var network = NetworkFaults()

    init {
        processes.forEach { join(it) }
    }

    fun runFor(duration: Duration) {
        val end = now + duration
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val due = queue.poll()
            now = due.at
            due.action()
        }
        now = end
    }

    fun restart(index: Int) {
        val process = processes[index]
        process.restart(now, platform)
        join(process)
    }

    fun resume(index: Int) {
        val process = processes[index]
        if (!process.isPaused) return
        process.resume(now, platform).shuffled(random).forEach { apply(process, it) }
    }

    fun raise(index: Int, notice: Notice) =
        apply(processes[index]) { DisseminationEvent.NoticeRaised(it, notice) }

    private fun join(process: FuzzedProcess) {
        val peers = processes.map { it.peer }.filter { it != process.peer }.toPersistentList()
        apply(process) { DisseminationEvent.PeersChanged(it, peers, PROCESSES) }
        scheduleTick(process, process.epoch)
    }

    private fun scheduleTick(process: FuzzedProcess, epoch: Int) {
        schedule(TICK) {
            if (process.epoch == epoch) {
                if (!process.isPaused) apply(process) { DisseminationEvent.Tick(it) }
                scheduleTick(process, epoch)
            }
        }
    }

    private fun apply(process: FuzzedProcess, event: (Instant) -> DisseminationEvent) =
        process.handle(now, platform, event).forEach { run(process, it) }

    private fun run(process: FuzzedProcess, effect: DisseminationEffect) = when (effect) {
        is DisseminationEffect.Send -> send(process, effect)
        is DisseminationEffect.ReadTable -> {
            val result = platform.read()
            answer(process) { DisseminationEvent.TableRead(it, effect.readId, result) }
        }
        is DisseminationEffect.FetchSection -> {
            val content = platform.content(effect.sha256)
            answer(process) { DisseminationEvent.SectionFetched(it, effect.sha256, content) }
        }
        else -> Unit
    }

    private fun send(from: FuzzedProcess, effect: DisseminationEffect.Send) {
        val to = processes.first { it.peer.id == effect.to }
        if (network.cuts(from.peer, to.peer)) return
        val copies = listOf(true, random.nextDouble() < network.duplicateShare)
            .count { it && random.nextDouble() >= network.lossShare }
        repeat(copies) {
            schedule(randomDelay(network.maxDelay)) {
                apply(to) { DisseminationEvent.MessageReceived(it, from.peer.id, effect.message) }
            }
        }
    }

    private fun answer(process: FuzzedProcess, event: (Instant) -> DisseminationEvent) {
        val epoch = process.epoch
        schedule(randomDelay(MAX_PLATFORM_DELAY)) {
            if (process.epoch == epoch) {
                apply(process, event)
            }
        }
    }

    private fun randomDelay(max: Duration): Duration =
        random.nextLong(1, max.inWholeMilliseconds + 1).milliseconds

    private fun schedule(delay: Duration, action: () -> Unit) {
        queue += Due(now + delay, order++, action)
    }

    private class Due(val at: Instant, val order: Long, val action: () -> Unit)

    private companion object {
        const val PROCESSES = 8
        const val ZONES = 4
        val TICK = 250.milliseconds
        val MAX_PLATFORM_DELAY = 1.seconds

        fun peer(index: Int): Peer {
            val zone = index % ZONES
            return Peer(InstanceId("p$index"), ZoneName("zone-$zone"), "region-${zone % 2}")
        }
    }
}

/** Faults of the network between processes. */
internal data class NetworkFaults(
    val lossShare: Double = 0.0,
    val duplicateShare: Double = 0.0,
    val maxDelay: Duration = 50.milliseconds,
    val areRegionsCut: Boolean = false,
    /** Processes whose messages are all lost; they still receive. */
    val mute: Set<InstanceId> = emptySet()
) {
    fun cuts(from: Peer, to: Peer): Boolean =
        from.id in mute || areRegionsCut && from.region != to.region
}
