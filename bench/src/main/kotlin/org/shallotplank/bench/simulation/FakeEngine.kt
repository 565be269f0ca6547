package org.shallotplank.bench.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.routing.PrefixFingerprint

/** Capacity, timing and failure behavior of a [FakeEngine]. */
internal data class EngineSettings(
    val warmCapacity: Int = 16,
    val coldCapacity: Int = 2,
    /** Time spent in iterations after which a cold engine reaches [warmCapacity]. */
    val warmUpTime: Duration = 10.seconds,
    val restartTime: Duration = 5.seconds,
    val baseStep: Duration = 12.milliseconds,
    val stepPerRequest: Duration = 1.milliseconds,
    val prefill: Duration = 40.milliseconds,
    val cachedPrefill: Duration = 8.milliseconds,
    val cacheSize: Int = 20,
    /** Time above its capacity after which an engine that is not warm crashes. */
    val overloadTolerance: Duration = 500.milliseconds,
    /** Factor on the duration of each iteration; above 1.0 for slower hardware. */
    val slowdown: Double = 1.0,
    /** Whether the engine reports when it is cold. */
    val reportsCold: Boolean = true
)

/**
 * Simulates an inference engine with continuous batching, a prefix cache and a cold start.
 *
 * Each iteration prefills at most one prompt and generates one token for each prefilled request.
 * The capacity of a cold engine grows with the time it spends in iterations. An engine that is not
 * warm and runs above its capacity for longer than [EngineSettings.overloadTolerance] crashes and
 * restarts cold.
 */
internal class FakeEngine(
    private val clock: VirtualClock,
    val settings: EngineSettings,
    private val onCrash: () -> Unit
) {
    var incarnation = 1L
        private set
    var isUp = true
        private set
    var crashes = 0
        private set

    /** Number of requests started while the engine was not warm and already at its capacity. */
    var startedAboveColdCapacity = 0
        private set
    private val running = mutableListOf<Generation>()
    private val cache = LinkedHashMap<PrefixFingerprint, Unit>(16, 0.75f, true)
    private var worked = settings.warmUpTime
    private var overloadedFor = Duration.ZERO
    private var lastStep = Duration.ZERO
    private var isIterating = false

    val runningCount: Int get() = running.size
    val cachedPrefixes: Set<PrefixFingerprint> get() = cache.keys.toSet()

    /** Number of concurrent requests that the engine can run at present without overload. */
    val capacity: Int
        get() {
            val share = (worked / settings.warmUpTime).coerceAtMost(1.0)
            return settings.coldCapacity +
                ((settings.warmCapacity - settings.coldCapacity) * share).toInt()
        }

    fun start(generation: Generation) {
        if (capacity < settings.warmCapacity && running.size >= capacity) startedAboveColdCapacity++
        running += generation
        iterate()
    }

    /** Clears the prefix cache and the warm-up state without a restart. */
    fun goCold() {
        worked = Duration.ZERO
        cache.clear()
    }

    /** Counts a crash, drops all in-flight requests and restarts cold after [downTime]. */
    fun crash(downTime: Duration = settings.restartTime) {
        if (!isUp) return
        crashes++
        stop(downTime)
    }

    /** Drops all in-flight requests and restarts cold after [downTime]. */
    fun stop(downTime: Duration) {
        isUp = false
        val lost = running.toList()
        running.clear()
        goCold()
        onCrash()
        lost.forEach { it.listener.onLost() }
        clock.after(downTime) {
            incarnation++
            isUp = true
        }
    }

    fun report(): LimitEvent.LoadReported = LimitEvent.LoadReported(
        incarnation = incarnation,
        running = running.size,
        queued = 0,
        step = lastStep,
        cold = settings.reportsCold && capacity < settings.warmCapacity / 2,
        cachedPrefixes = cache.size
    )

    private fun iterate() {
        if (isIterating || running.isEmpty()) return
        isIterating = true
        val prefilled = running.firstOrNull { !it.isPrefilled }
        val duration = iterationTime(prefilled)
        clock.after(duration) {
            isIterating = false
            if (isUp) finishIteration(prefilled, duration)
        }
    }

    private fun finishIteration(prefilled: Generation?, duration: Duration) {
        lastStep = duration
        worked += duration
        overloadedFor = if (running.size > capacity) overloadedFor + duration else Duration.ZERO
        val isOverloaded =
            capacity < settings.warmCapacity && overloadedFor > settings.overloadTolerance
        if (isOverloaded || prefilled?.prompt?.poison == true) return crash()
        running.filter { it.isPrefilled || it === prefilled }.forEach { it.tokenAt(clock.now) }
        val done = running.filter { it.isDone }
        running.removeAll(done)
        done.forEach { it.listener.onDone(it.step(clock.now)) }
        iterate()
    }

    private fun iterationTime(prefilled: Generation?): Duration {
        val excess = (running.size - settings.warmCapacity).coerceAtLeast(0)
        val decode = settings.baseStep + settings.stepPerRequest * (running.size + 2 * excess)
        return (decode + prefillTime(prefilled)) * settings.slowdown
    }

    private fun prefillTime(generation: Generation?): Duration {
        val prefix = generation?.prompt?.prefix ?: return Duration.ZERO
        val isCached = cache.containsKey(prefix)
        cache[prefix] = Unit
        if (cache.size > settings.cacheSize) cache.remove(cache.keys.first())
        return if (isCached) settings.cachedPrefill else settings.prefill
    }
}
