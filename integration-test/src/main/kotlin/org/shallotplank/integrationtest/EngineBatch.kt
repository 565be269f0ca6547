package org.shallotplank.integrationtest

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/** Continuous batching of an engine: each step generates one token of each running sequence. */
internal class EngineBatch(
    private val settings: EngineSettings,
    private val executions: ExecutionCounter,
    firstIncarnation: Long,
    private val onCrash: () -> Unit,
    timeSource: TimeSource.WithComparableMarks
) {
    private val waiting =
        PriorityQueue(compareBy<GeneratedStream>({ it.priority }, { it.arrival }))
    private val running = mutableListOf<GeneratedStream>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val cache = PrefixCache(settings.cacheCapacityBlocks)
    private val coldStart = ColdStart(
        settings.coldConcurrency,
        settings.maxBatch,
        settings.warmAfterTokens,
        settings.startWarm
    )
    private var incarnation = firstIncarnation
    private var arrivals = 0L
    private var lastStep = Duration.ZERO
    private var crashOn = ""
    private var pendingStall = Duration.ZERO
    private var cutAfterTokens: Int? = null
    private val load = LaggedView(currentLoad(), settings.loadLag, timeSource)

    /** The load as it was [EngineSettings.loadLag] ago. */
    fun loadReport(): LoadReport = load.read()

    /** Applies the fields of [faults] that are set. */
    @Synchronized
    fun inject(faults: UpstreamFaults) {
        faults.crashOn?.let { crashOn = it }
        faults.stallMillis?.let { pendingStall = it.milliseconds }
        faults.cutAfterTokens?.let { cutAfterTokens = it }
        if (faults.cold == true) turnCold()
    }

    /** Queues a sequence; returns null if the additional load crashed the engine. */
    @Synchronized
    fun submit(
        request: GenerationRequest,
        caller: CallerRequest,
        priority: Int,
        skipTokens: Int
    ): GeneratedStream? {
        if (coldStart.isOverloadedBy(running.size + waiting.size + 1)) {
            crash()
            return null
        }
        val cut = cutAfterTokens
        cutAfterTokens = null
        val stream = GeneratedStream(request, caller, priority, arrivals++, skipTokens, cut)
        waiting += stream
        publishLoad()
        wakeUp.trySend(Unit)
        return stream
    }

    /** Runs steps until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            if (isIdle()) wakeUp.receive()
            delay(beginStep())
            finishStep()
        }
    }

    @Synchronized
    private fun isIdle(): Boolean = running.isEmpty() && waiting.isEmpty()

    /** Admits waiting sequences and returns the duration of the step. */
    @Synchronized
    fun beginStep(): Duration {
        dropCancelled()
        val prefillTokens = admitWaiting()
        val work = settings.baseStep + settings.stepPerSequence * running.size +
            settings.prefillPerToken * prefillTokens
        val factor = if (coldStart.isCold) settings.coldStepFactor else 1
        lastStep = work * factor + pendingStall
        pendingStall = Duration.ZERO
        publishLoad()
        return lastStep
    }

    /**
     * Moves waiting sequences into the batch and returns the number of their prompt tokens that
     * are not in the prefix cache.
     */
    private fun admitWaiting(): Int {
        var prefillTokens = 0
        while (running.size < settings.maxBatch && waiting.isNotEmpty()) {
            val stream = waiting.remove()
            running += stream
            executions.start(stream.caller)
            val prompt = stream.request.prompt
            if (crashOn.isNotEmpty() && crashOn in prompt) {
                crash()
                return 0
            }
            val computedChars =
                prompt.length - cache.lookUpAndStore(prompt) * PrefixCache.BLOCK_CHARS
            prefillTokens += computedChars / CHARS_PER_TOKEN
        }
        return prefillTokens
    }

    /** Emits one token of each running sequence and removes the complete ones. */
    @Synchronized
    fun finishStep() {
        running.forEach {
            it.advance()
            coldStart.recordUnit()
        }
        dropCancelled()
        val complete = running.filter { it.isComplete }
        running -= complete.toSet()
        complete.forEach {
            executions.finish()
            it.complete()
        }
        publishLoad()
    }

    private fun dropCancelled() {
        waiting.removeIf { it.isCancelled }
        running.removeIf { stream ->
            if (stream.isCancelled) executions.cancel()
            stream.isCancelled
        }
    }

    private fun crash() {
        (running + waiting).forEach { it.fail(EngineCrashedException()) }
        running.clear()
        waiting.clear()
        incarnation++
        turnCold()
        onCrash()
    }

    private fun turnCold() {
        cache.clear()
        coldStart.reset()
        publishLoad()
    }

    private fun publishLoad(): Unit = load.update(currentLoad())

    private fun currentLoad(): LoadReport = LoadReport(
        incarnation = incarnation,
        running = running.size,
        queued = waiting.size,
        stepMillis = lastStep.inWholeMilliseconds,
        cold = coldStart.isCold,
        cachedPrefixes = cache.mostRecent(settings.reportedPrefixes)
    )

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
