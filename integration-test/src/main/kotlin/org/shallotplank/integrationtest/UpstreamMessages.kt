package org.shallotplank.integrationtest

import kotlinx.serialization.Serializable

/** Body of a call that generates tokens. */
@Serializable
internal data class GenerationRequest(val prompt: String, val maxTokens: Int)

/** Data of a token event. */
@Serializable
internal data class TokenEvent(val token: String)

/** Data of the event that ends a stream; [tokens] includes those that a resume skipped. */
@Serializable
internal data class EndEvent(val tokens: Int)

/** Answer of `GET /load`. */
@Serializable
internal data class LoadReport(
    val incarnation: Long,
    val running: Int = 0,
    val queued: Int = 0,
    val stepMillis: Long = 0,
    val cold: Boolean = true,
    val cachedPrefixes: List<String> = emptyList()
)

/** Body of `POST /orders`. */
@Serializable
internal data class Order(val fencing: Long, val kind: String, val argument: String = "")

/** Answer to an order whose fencing number is old; [fencing] is the highest number seen. */
@Serializable
internal data class StaleOrder(val fencing: Long)

/** Answer of `GET /orders`: the orders that took effect, oldest first. */
@Serializable
internal data class OrderLog(val orders: List<Order>)

/** Body of the calls under `/rank`; [incarnation] is that of the rank group. */
@Serializable
internal data class RankRequest(val incarnation: Long, val mapVersion: Long, val step: Long)

/** State of a rank: its last executed step and the expert map used in it. */
@Serializable
internal data class RankState(val step: Long, val mapVersion: Long)

/** One step that a rank executed; an element of the answer of `GET /rank/steps`. */
@Serializable
internal data class RankStep(val incarnation: Long, val step: Long, val mapVersion: Long)

/** Answer of `GET /rank/steps`. */
@Serializable
internal data class RankSteps(val steps: List<RankStep>)

/** Answer of a plain service to an execution. */
@Serializable
internal data class ExecutionAnswer(val execution: Int, val bodySha256: String)

/** Body of `POST /faults` at upstreams; absent fields leave their faults unchanged. */
@Serializable
internal data class UpstreamFaults(
    /** The upstream crashes on prompts or bodies that contain this text; empty for none. */
    val crashOn: String? = null,
    /** If true, makes the upstream cold without a new incarnation. */
    val cold: Boolean? = null,
    /** Delay that is added once, to the next step or call. */
    val stallMillis: Long? = null,
    /** Number of tokens after which the next stream is cut off; engines only. */
    val cutAfterTokens: Int? = null,
    /** Delay of each answer; plain services only. */
    val answerMillis: Long? = null,
    /** Number of answers to drop after the execution; plain services only. */
    val loseAnswers: Int? = null,
    /** Number of chunked answers to cut between two chunks; plain services only. */
    val cutAnswers: Int? = null
)
