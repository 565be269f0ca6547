package org.shallotplank.core.call

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reply of an agent to an [AttemptOffer]: a head, chunks and an end in order, or a refusal. */
@Serializable
public sealed interface AttemptReply {
    /** The upstream started its answer. */
    @Serializable
    @SerialName("head")
    public data class Head(val head: AnswerHead) : AttemptReply

    /** A part of the answer. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(
        /** Position among the chunks of this attempt, from 0. */
        val sequence: Long,
        /** Number of the server-sent event that the chunk holds; 0 when it holds none. */
        val eventId: Long = 0,
        val payload: Payload
    ) : AttemptReply

    /** The answer is complete and consists of [chunkCount] chunks. */
    @Serializable
    @SerialName("end")
    public data class End(val chunkCount: Long) : AttemptReply

    /** The attempt has no answer, or the answer stops before its end. */
    @Serializable
    @SerialName("refused")
    public data class Refused(val refusal: Refusal) : AttemptReply
}
