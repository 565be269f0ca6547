package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.execution.ExecutionState
import org.shallotplank.core.execution.ReadOutcome
import org.shallotplank.core.execution.WriteOutcome

/** Events that an agent handles. */
public sealed interface AgentEvent {
    /** An entry offered an attempt. */
    public data class Offered(val connection: ConnectionId, val offer: AttemptOffer) : AgentEvent

    /** The entry cancelled an attempt. */
    public data class Cancelled(val attemptId: AttemptId) : AgentEvent

    /** The connection to an entry was closed. */
    public data class ConnectionClosed(val connection: ConnectionId) : AgentEvent

    /** A conditional write of an execution record in [state] ended with [outcome]. */
    public data class WriteEnded(
        val attemptId: AttemptId,
        val state: ExecutionState,
        val outcome: WriteOutcome
    ) : AgentEvent

    /** A read of an execution record ended with [outcome]. */
    public data class ReadEnded(val attemptId: AttemptId, val outcome: ReadOutcome) : AgentEvent

    /** The upstream sent the head of its answer. */
    public data class AnswerStarted(val attemptId: AttemptId, val head: AnswerHead) : AgentEvent

    /** The upstream sent a chunk of its answer. */
    public data class AnswerContinued(
        val attemptId: AttemptId,
        val eventId: Long,
        val payload: Payload
    ) : AgentEvent

    /** The upstream completed its answer. */
    public data class AnswerEnded(val attemptId: AttemptId) : AgentEvent

    /** The call to the upstream failed; [sent] is false only if no byte of it was sent. */
    public data class UpstreamFailed(val attemptId: AttemptId, val sent: Boolean) : AgentEvent

    /** The upstream reported its load. */
    public data class LoadReported(
        val incarnation: Long,
        val running: Int,
        val queued: Int,
        val step: Duration,
        val cold: Boolean,
        val cachedPrefixes: PersistentList<String> = persistentListOf()
    ) : AgentEvent

    /** The upstream did not answer a request for its load. */
    public data object UpstreamUnreachable : AgentEvent

    /** The process accepted a configuration, which comes into force if it is newer. */
    public data class ConfigurationAccepted(val configuration: Configuration) : AgentEvent

    /**
     * The process has caught up with the published configuration, or has to catch up again after
     * a suspension.
     */
    public data class ReadinessChanged(val isReady: Boolean) : AgentEvent

    /** The process was asked to stop. */
    public data object StopRequested : AgentEvent

    /** Periodic event that applies timeouts. */
    public data object Tick : AgentEvent
}
