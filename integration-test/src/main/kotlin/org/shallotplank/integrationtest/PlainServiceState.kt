package org.shallotplank.integrationtest

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Capacity of a plain service stand-in. */
internal data class PlainServiceSettings(
    /** Number of concurrent calls above which a cold service crashes at first. */
    val coldConcurrency: Int = 4,
    /** Maximum of concurrent calls at the end of the warm-up. */
    val warmConcurrency: Int = 32,
    /** Number of ended calls after which a cold service is warm. */
    val warmAfterCalls: Int = 50,
    val startWarm: Boolean = false
)

/** Load, warm-up state and injected faults of a plain service. */
internal class PlainServiceState(
    settings: PlainServiceSettings,
    firstIncarnation: Long,
    private val onCrash: () -> Unit
) {
    private val coldStart = ColdStart(
        settings.coldConcurrency,
        settings.warmConcurrency,
        settings.warmAfterCalls,
        settings.startWarm
    )
    private var incarnation = firstIncarnation
    private var running = 0
    private var crashOn = ""
    private var pendingStall = Duration.ZERO
    private var answerTime = Duration.ZERO
    private var answersToLose = 0
    private var answersToCut = 0

    /** The load report; plain services neither queue nor step. */
    @Synchronized
    fun loadReport(): LoadReport =
        LoadReport(incarnation = incarnation, running = running, cold = coldStart.isCold)

    /** Applies the fields of [faults] that are set. */
    @Synchronized
    fun inject(faults: UpstreamFaults) {
        faults.crashOn?.let { crashOn = it }
        faults.stallMillis?.let { pendingStall = it.milliseconds }
        faults.answerMillis?.let { answerTime = it.milliseconds }
        faults.loseAnswers?.let { answersToLose = it }
        faults.cutAnswers?.let { answersToCut = it }
        if (faults.cold == true) coldStart.reset()
    }

    /** Counts a started call; returns false if the additional load crashed the service. */
    @Synchronized
    fun begin(): Boolean {
        if (coldStart.isOverloadedBy(running + 1)) {
            crash()
            return false
        }
        running++
        return true
    }

    /** Counts the end of a call, successful or not. */
    @Synchronized
    fun end() {
        running--
        coldStart.recordUnit()
    }

    /** Crashes the service if [body] contains the text to crash on; returns whether it did. */
    @Synchronized
    fun crashesOn(body: String): Boolean {
        val isPoisoned = crashOn.isNotEmpty() && crashOn in body
        if (isPoisoned) crash()
        return isPoisoned
    }

    /** Returns the delay of the next answer and clears the pending stall that it includes. */
    @Synchronized
    fun takeAnswerTime(): Duration {
        val time = answerTime + pendingStall
        pendingStall = Duration.ZERO
        return time
    }

    /** Whether to drop the next answer; each true uses up one injected loss. */
    @Synchronized
    fun takeLostAnswer(): Boolean {
        if (answersToLose == 0) return false
        answersToLose--
        return true
    }

    /** Whether to cut the next answer between two chunks; each true uses up one injected cut. */
    @Synchronized
    fun takeCutAnswer(): Boolean {
        if (answersToCut == 0) return false
        answersToCut--
        return true
    }

    private fun crash() {
        incarnation++
        coldStart.reset()
        onCrash()
    }
}
