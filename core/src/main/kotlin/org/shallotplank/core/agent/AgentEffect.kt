package org.shallotplank.core.agent

import org.shallotplank.core.AttemptId
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.execution.ExecutionRecord
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.log.LogRecord

/** Side effects that an agent requests. */
public sealed interface AgentEffect {
    /** Send [reply] on an attempt to an entry. */
    public data class Reply(
        val connection: ConnectionId,
        val requestId: RequestId,
        val attemptId: AttemptId,
        val reply: AttemptReply
    ) : AgentEffect

    /** Send the request to the upstream. */
    public data class CallUpstream(val offer: AttemptOffer) : AgentEffect

    /** Abort the call to the upstream and close its connection. */
    public data class AbortUpstream(val attemptId: AttemptId) : AgentEffect

    /** Write [record] if the stored version at [key] is still [expectedVersion]. */
    public data class WriteRecord(
        val attemptId: AttemptId,
        val key: RecordKey,
        val expectedVersion: Long,
        val record: ExecutionRecord
    ) : AgentEffect

    /** Read an execution record. */
    public data class ReadRecord(val attemptId: AttemptId, val key: RecordKey) : AgentEffect

    /** Send [report] to all connected entries. */
    public data class Broadcast(val report: AgentReport) : AgentEffect

    /** Write a log line. */
    public data class Log(val record: LogRecord) : AgentEffect

    /** Exit the process, because no attempt is in flight or the drain timeout has passed. */
    public data object Exit : AgentEffect
}
