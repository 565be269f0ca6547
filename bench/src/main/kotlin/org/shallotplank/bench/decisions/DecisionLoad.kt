package org.shallotplank.bench.decisions

import kotlin.math.PI
import kotlin.math.sin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.shallotplank.core.gateway.RequestKind

/** Deployment and traffic on which decisions are compared; read from a load file. */
internal data class DecisionLoad(
    val name: String,
    val length: Duration,
    /** One-way delay between two zones, and between callers and entries. */
    val zoneDelay: Duration,
    val callerDelay: Duration,
    val bounds: RetryBounds,
    /** Interval of reports if entries exchange them otherwise than by polling each other. */
    val exchangeInterval: Duration?,
    val zones: List<LoadZone>,
    val services: List<LoadService>,
    val kinds: List<LoadKind>,
    val faults: List<LoadFault>
) {
    val entryCount: Int get() = zones.sumOf { it.entries }

    /** Interval at which an entry reads the report of another one; it grows with their number. */
    val reportInterval: Duration
        get() = exchangeInterval
            ?: (40.milliseconds * (entryCount - 1)).coerceAtLeast(250.milliseconds)
}

/** Retry budget of the deployment. */
internal data class RetryBounds(val ratio: Double, val window: Duration, val slack: Int)

/** A zone and how the traffic of its callers varies over time. */
internal data class LoadZone(
    val name: String,
    val entries: Int,
    val trafficShare: Double,
    val swing: Double,
    val period: Duration,
    val phase: Double
) {
    /** Factor on the mean traffic at [elapsed]. */
    fun trafficAt(elapsed: Duration): Double = 1 + swing * sin(2 * PI * (elapsed / period + phase))
}

/** Upstreams of one service; [engine] is null for services without model engines. */
internal data class LoadService(
    val name: String,
    val upstreamsPerZone: List<Int>,
    val slots: Int,
    val queued: Int,
    val connections: Int,
    val coldPerSecond: Double?,
    val connectTime: Duration,
    val engine: LoadEngine?
)

/** Timing of the engines of one rank group, which advance in passes of [stride] steps. */
internal data class LoadEngine(
    val step: Duration,
    val stepPerRequest: Duration,
    val stepPerThousandTokens: Duration,
    val promptTokensPerMilli: Double,
    val chunkTokens: Int,
    val stride: Int,
    /** Share of a pass whose time grows with the imbalance of the expert map. */
    val expertShare: Double,
    /** Imbalance while the map fits the demand, and right after a jump of demand. */
    val usualImbalance: Double,
    val jumpImbalance: Double,
    /** Time after a jump until the map fits again. */
    val adaptTime: Duration,
    val formTime: Duration,
    val memoryTokens: Int?,
    val usualPromptTokens: Int?,
    val usualAnswerTokens: Int?
)

/** Requests of one kind. */
internal data class LoadKind(
    val name: String,
    val service: String,
    val kind: RequestKind,
    val perSecond: Double,
    val goal: Duration,
    val deadline: Duration,
    val timeout: Duration,
    val longestPause: Duration?,
    val maxAttempts: Int,
    val returns: Int,
    val worth: Double,
    val lateShare: Double,
    /** Prompt tokens and events of a stream. */
    val prompt: SizeDistribution,
    val events: SizeDistribution,
    /** Standard deviation of the logarithm of a caller's hint over the answer; null without. */
    val hintError: Double?,
    /** Work of a request to a plain service. */
    val workMillis: SizeDistribution,
    /** Share of the requests that an upstream answers with its own failure. */
    val failedShare: Double
)

/** Sizes around [mean] with the given relative [spread], at most [max]. */
internal data class SizeDistribution(val mean: Double, val spread: Double, val max: Double)

/**
 * A fault that begins at [at] and lasts [length]; [factor] is its strength.
 *
 * @property count how often it occurs, each time [gap] after the time before.
 */
internal data class LoadFault(
    val kind: LoadFaultKind,
    val at: Duration,
    val length: Duration,
    val factor: Double,
    val count: Int,
    val gap: Duration
)

internal enum class LoadFaultKind {
    /** Other experts are in demand. */
    DEMAND_JUMP,

    /** One rank of each group takes [LoadFault.factor] times as long. */
    SLOW_RANK,

    /** A share [LoadFault.factor] of the answers of plain upstreams is lost. */
    ANSWERS_LOST,

    /** Traffic is [LoadFault.factor] times as high. */
    BURST,

    /** All entries and upstreams lose power. */
    POWER_LOSS
}
