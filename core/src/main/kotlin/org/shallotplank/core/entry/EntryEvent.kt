package org.shallotplank.core.entry

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.AttemptId
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.execution.ReadOutcome
import org.shallotplank.core.quarantine.CrashRecord

/** Events that an entry instance handles. */
public sealed interface EntryEvent {
    /** A caller sent a request. */
    public data class Arrived(val call: IncomingCall) : EntryEvent

    /** A caller closed its connection, or reads too slowly. */
    public data class CallerLeft(val requestId: RequestId) : EntryEvent

    /** The agent of [from] replied to an offer. */
    public data class Replied(
        val from: InstanceId,
        val requestId: RequestId,
        val attemptId: AttemptId,
        val reply: AttemptReply
    ) : EntryEvent

    /** An offer could not be sent; none of its bytes left this process. */
    public data class OfferUnsent(val requestId: RequestId, val attemptId: AttemptId) : EntryEvent

    /** The connection to an agent is up. */
    public data class Connected(val instance: InstanceId) : EntryEvent

    /** The connection to an agent was lost or timed out. */
    public data class Disconnected(val instance: InstanceId) : EntryEvent

    /** An agent reported the state of its upstream. */
    public data class Reported(val report: AgentReport) : EntryEvent

    /** The platform returned its instance list. */
    public data class InstancesListed(val instances: PersistentList<Instance>) : EntryEvent

    /** A configuration came into force. */
    public data class ConfigurationAccepted(val configuration: Configuration) : EntryEvent

    /** The read of the record of a non-idempotent request ended with [outcome]. */
    public data class LookedUp(val requestId: RequestId, val outcome: ReadOutcome) : EntryEvent

    /** Another process reported crashes of a request. */
    public data class CrashLearned(val record: CrashRecord) : EntryEvent

    /**
     * The process has caught up with the published configuration, or has to catch up again after
     * a suspension.
     */
    public data class ReadinessChanged(val isReady: Boolean) : EntryEvent

    /** An entry instance or an agent announced that it takes no new work until [expiresAt]. */
    public data class LeavingLearned(val instance: InstanceId, val expiresAt: Instant) :
        EntryEvent

    /** The process was asked to stop. */
    public data object StopRequested : EntryEvent

    /** Time passed. */
    public data object Tick : EntryEvent
}
