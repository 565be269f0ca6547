package org.shallotplank.integrationtest

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Capacity and speed of an engine stand-in. */
internal data class EngineSettings(
    /** Maximum number of sequences that advance together in one step. */
    val maxBatch: Int = 16,
    /** Number of running and queued sequences above which a cold engine crashes at first. */
    val coldConcurrency: Int = 2,
    /** Number of generated tokens after which a cold engine is warm. */
    val warmAfterTokens: Int = 400,
    val startWarm: Boolean = false,
    /** Duration of a step with an empty batch. */
    val baseStep: Duration = 10.milliseconds,
    /** Time that each sequence of the batch adds to a step. */
    val stepPerSequence: Duration = 1.milliseconds,
    /** Time that each uncached prompt token adds to the step that admits its sequence. */
    val prefillPerToken: Duration = 100.microseconds,
    /** Factor by which the steps of a cold engine take longer. */
    val coldStepFactor: Int = 2,
    val cacheCapacityBlocks: Int = 256,
    /** Maximum number of prefixes in a load report. */
    val reportedPrefixes: Int = 32,
    val loadLag: Duration = 200.milliseconds,
    /** Whether to refuse orders with an old fencing number and rank calls of an old incarnation. */
    val checksFencing: Boolean = true
)
