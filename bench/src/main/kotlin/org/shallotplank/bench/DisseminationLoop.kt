package org.shallotplank.bench

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.INFINITE
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.bench.simulation.VirtualClock
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.dissemination.Dissemination
import org.shallotplank.core.dissemination.DisseminationEffect
import org.shallotplank.core.dissemination.DisseminationEvent
import org.shallotplank.core.dissemination.DisseminationState
import org.shallotplank.core.dissemination.SectionName
import org.shallotplank.core.dissemination.TableReadResult

/** Runs the real dissemination reducers of all members on a virtual clock with lossy links. */
internal class DisseminationLoop(
    private val system: SyntheticSystem,
    private val lossShare: Double,
    seed: Long
) {
    private val random = Random(seed)
    private val clock = VirtualClock()
    private val now: Instant get() = clock.now
    private val configuration = SyntheticConfiguration(SECTIONS, SECTION_BYTES)
    private val nodes = system.instances.map { node(it, seed) }.associateBy { it.instance.id }
    private val inForce = HashMap<InstanceId, ConfigurationVersion>()
    private var lastInForceAt = now
    private var lastReadyAt = now
    private var readSecond = 0L
    private var readsInSecond = 0
    val counts = LoopCounts()

    /** Time from the simultaneous start of all members until all were ready, or infinite. */
    val startDuration: Duration

    init {
        nodes.values.forEach { node ->
            val peers = system.peers.getValue(node.instance.id)
            val event = DisseminationEvent.PeersChanged(now, peers, system.entries.size)
            clock.after(randomDelay(TICK)) {
                apply(node, event)
                tick(node)
            }
        }
        clock.runFor(WARM_UP)
        val areReady = nodes.values.all { it.state.isReady }
        startDuration = if (areReady) lastReadyAt - clock.start else INFINITE
    }

    /** Publishes a change; returns the time until it is in force at all members, or infinite. */
    fun timeUntilInForce(): Duration {
        val start = now
        configuration.change()
        clock.runFor(clock.elapsed + CHANGE_INTERVAL)
        val version = configuration.manifest.version
        val isEverywhere = nodes.keys.all { inForce[it] == version }
        return if (isEverywhere) lastInForceAt - start else INFINITE
    }

    private fun node(instance: Instance, seed: Long): LoopNode {
        val nodeRandom = Random(seed + instance.id.hashCode())
        val own = SectionName("section/%04d".format(instance.id.hashCode().mod(SECTIONS)))
        val isEntry = instance.role == InstanceRole.ENTRY
        val settings = settingsOf(instance.role)
        val dissemination = Dissemination(settings, nodeRandom) { isEntry || it == own }
        return LoopNode(instance, dissemination, dissemination.start(instance.asPeer(), now))
    }

    private fun tick(node: LoopNode) {
        apply(node, DisseminationEvent.Tick(now))
        clock.after(TICK) { tick(node) }
    }

    private fun apply(node: LoopNode, event: DisseminationEvent) {
        val step = node.dissemination.reduce(node.state, event)
        node.state = step.state
        step.effects.forEach { run(node, it) }
    }

    private fun run(node: LoopNode, effect: DisseminationEffect) = when (effect) {
        is DisseminationEffect.Send -> send(node, effect)
        is DisseminationEffect.ReadTable -> {
            val result = readTable()
            clock.after(PLATFORM_DELAY) {
                apply(node, DisseminationEvent.TableRead(now, effect.readId, result))
            }
        }
        is DisseminationEffect.FetchSection -> {
            counts.objectReads++
            val content = configuration.content(effect.sha256)
            clock.after(PLATFORM_DELAY) {
                apply(node, DisseminationEvent.SectionFetched(now, effect.sha256, content))
            }
        }
        is DisseminationEffect.ConfigurationInForce -> {
            inForce[node.instance.id] = effect.manifest.version
            lastInForceAt = now
        }
        is DisseminationEffect.ReadinessChanged -> lastReadyAt = now
        else -> Unit
    }

    /** Reads the table, which is unavailable for reads above its limit per second. */
    private fun readTable(): TableReadResult {
        counts.tableReads++
        if (now.epochSeconds != readSecond) {
            readSecond = now.epochSeconds
            readsInSecond = 0
        }
        val isOverloaded = ++readsInSecond > StatedSize.TABLE_READS_PER_SECOND
        if (isOverloaded) return TableReadResult.Unavailable
        return TableReadResult.Found(configuration.manifest)
    }

    private fun send(node: LoopNode, effect: DisseminationEffect.Send) {
        counts.messages++
        if (random.nextDouble() < lossShare) return
        val to = nodes.getValue(effect.to)
        clock.after(delay(node.instance, to.instance)) {
            apply(to, DisseminationEvent.MessageReceived(now, node.instance.id, effect.message))
        }
    }

    private fun delay(from: Instance, to: Instance): Duration {
        val base = when {
            from.zone == to.zone -> ZONE_DELAY
            from.region == to.region -> REGION_DELAY
            else -> DISTANT_DELAY
        }
        return base + randomDelay(base)
    }

    private fun randomDelay(max: Duration): Duration =
        random.nextLong(max.inWholeMicroseconds).microseconds

    private class LoopNode(
        val instance: Instance,
        val dissemination: Dissemination,
        var state: DisseminationState
    )

    companion object {
        val WARM_UP = 20.seconds
        val CHANGE_INTERVAL = 10.seconds
        private const val SECTIONS = 16
        private const val SECTION_BYTES = 64
        private val TICK = 250.milliseconds
        private val PLATFORM_DELAY = 30.milliseconds
        private val ZONE_DELAY = 500.microseconds
        private val REGION_DELAY = 1500.microseconds
        private val DISTANT_DELAY = 75.milliseconds
    }
}

/** Totals over all members of a [DisseminationLoop]. */
internal class LoopCounts {
    var messages = 0L
    var tableReads = 0L
    var objectReads = 0L
}
