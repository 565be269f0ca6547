package org.shallotplank.core.work

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.gateway.EngineProfile

/**
 * Expected work of one request at an upstream.
 *
 * The times are those that the request adds to the upstream's own work, not its latency.
 *
 * @property readTime time of processing the prompt; zero for plain services.
 * @property generateTime time of generating the answer or, for plain services, of processing.
 * @property promptTokens tokens of the prompt, 0 if they are unknown.
 * @property outputTokens expected tokens of the answer; 0 for plain services.
 */
public data class RequestCost(
    val readTime: Duration,
    val generateTime: Duration,
    val promptTokens: Int = 0,
    val outputTokens: Double = 0.0
) {
    val total: Duration get() = readTime + generateTime

    /** Memory of an engine that the request needs at its end, in tokens. */
    val memoryTokens: Double get() = promptTokens + outputTokens
}

/** Expected work of a request of [size] whose answer is expected to have [outputTokens]. */
public fun EngineProfile.costOf(size: RequestSize, outputTokens: Double): RequestCost {
    val prompt = size.promptTokens ?: usualPromptTokens ?: 0
    val context = (prompt + outputTokens / 2) / TOKENS_PER_THOUSAND
    return RequestCost(
        readTime = readTimeOf(prompt.toDouble()),
        generateTime = (timePerToken + timePerThousandTokens(context)) * outputTokens,
        promptTokens = prompt,
        outputTokens = outputTokens
    )
}

/** Time in which an engine processes [promptTokens]; zero if its rate is not published. */
public fun EngineProfile.readTimeOf(promptTokens: Double): Duration =
    promptTokensPerSecond?.let { (promptTokens / it).seconds } ?: Duration.ZERO

/** Time that one generating request adds to a step, without the part of its context. */
internal val EngineProfile.timePerToken: Duration
    get() = timePerRequest ?: stepTime.takeIf { it > Duration.ZERO } ?: DEFAULT_TIME_PER_TOKEN

private fun EngineProfile.timePerThousandTokens(thousands: Double): Duration =
    (timePerThousandTokens ?: Duration.ZERO) * thousands

private const val TOKENS_PER_THOUSAND = 1_000

/** Costs are compared with each other only, so any unit serves if no time is published. */
private val DEFAULT_TIME_PER_TOKEN = 1.milliseconds
