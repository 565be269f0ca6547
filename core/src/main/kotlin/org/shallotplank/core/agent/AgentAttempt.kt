package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload

/** Where an attempt stands at its agent. */
public enum class AttemptPhase {
    /** It waits for room at the upstream. */
    QUEUED,

    /** Its start is being written to the platform's table. */
    CLAIMING,

    /** The upstream has it. */
    RUNNING
}

/** An attempt that an agent has accepted. */
public data class AgentAttempt(
    val offer: AttemptOffer,
    /** Null once the entry left or was given its last reply. */
    val connection: ConnectionId?,
    val deadline: Instant,
    val phase: AttemptPhase = AttemptPhase.QUEUED,
    val startedAt: Instant? = null,
    val firstChunkAt: Instant? = null,
    val lastChunkAt: Instant? = null,
    val chunkCount: Long = 0,
    val head: AnswerHead? = null,
    /** Parts of the answer to a non-idempotent request, to be recorded. */
    val chunksToRecord: PersistentList<Payload> = persistentListOf(),
    val bytesToRecord: Int = 0
) {
    /** Whether running it twice would do harm. */
    public val isOnce: Boolean get() = offer.idempotencyKey != null

    /** Time from the start to the first part of the answer. */
    internal val firstChunkDelay: Duration? get() {
        val from = startedAt ?: return null
        return firstChunkAt?.let { it - from }
    }

    /** Mean time between the parts of a streamed answer. */
    internal val meanStep: Duration? get() {
        val first = firstChunkAt ?: return null
        val last = lastChunkAt ?: return null
        if (!offer.streamed || chunkCount < 2) return null
        return (last - first) / (chunkCount - 1).toInt()
    }
}
