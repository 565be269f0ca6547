package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload

/** Phase of an attempt at its agent. */
public enum class AttemptPhase {
    /** Waits for free capacity of the upstream. */
    QUEUED,

    /** Waits until the STARTED record is written to the platform's table. */
    CLAIMING,

    /** Sent to the upstream. */
    RUNNING
}

/** An attempt that an agent has accepted. */
public data class AgentAttempt(
    val offer: AttemptOffer,
    /** Null after the entry cancelled, disconnected or received its last reply. */
    val connection: ConnectionId?,
    val deadline: Instant,
    val phase: AttemptPhase = AttemptPhase.QUEUED,
    val startedAt: Instant? = null,
    val firstChunkAt: Instant? = null,
    val lastChunkAt: Instant? = null,
    val chunkCount: Long = 0,
    val head: AnswerHead? = null,
    /** Chunks of the answer to a non-idempotent request, for the execution record. */
    val chunksToRecord: PersistentList<Payload> = persistentListOf(),
    /** Size of the whole answer so far, even when it is too large to be recorded. */
    val bytesToRecord: Int = 0
) {
    /** Whether the request is non-idempotent, so it must run at most once. */
    public val isAtMostOnce: Boolean get() = offer.idempotencyKey != null

    /** Time from the start to the first chunk of the answer. */
    internal val firstChunkDelay: Duration? get() {
        val from = startedAt ?: return null
        return firstChunkAt?.let { it - from }
    }

    /** Mean time between the chunks of a streamed answer; null for fewer than two chunks. */
    internal val meanStep: Duration? get() {
        val first = firstChunkAt ?: return null
        val last = lastChunkAt ?: return null
        if (!offer.streamed || chunkCount < 2) return null
        return (last - first) / (chunkCount - 1).toInt()
    }
}
