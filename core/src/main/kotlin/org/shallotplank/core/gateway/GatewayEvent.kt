package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.work.ReportedWork

/** Events that the reducer of a gateway entry handles. */
public sealed interface GatewayEvent {
    /** A request was read completely. */
    public data class Arrived(val request: GatewayRequest) : GatewayEvent

    /** A caller closed its connection. */
    public data class CallerLeft(val requestId: RequestId) : GatewayEvent

    /** No connection to the upstream could be opened; nothing was sent. */
    public data class ConnectFailed(
        val requestId: RequestId,
        val attempt: Int,
        val cause: ConnectFailure
    ) : GatewayEvent

    /** The upstream reported that it did not run the attempt. */
    public data class NotRun(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        /** Whether another process answered at the upstream's address. */
        val isMisdirected: Boolean
    ) : GatewayEvent

    /** The head of the answer arrived. */
    public data class HeadReceived(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        val load: EngineLoad?
    ) : GatewayEvent

    /** The first bytes of the answer were sent to the caller. */
    public data class AnswerBegun(val requestId: RequestId, val attempt: Int) : GatewayEvent

    /** A complete answer is held back until the reducer delivers it or retries the request. */
    public data class AnswerHeld(val requestId: RequestId, val attempt: Int, val status: Int) :
        GatewayEvent

    /** The last bytes of the answer were sent to the caller. */
    public data class AnswerEnded(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        /** For streams, time from sending the attempt to its first event. */
        val firstEvent: Duration? = null,
        /** Longest time between two consecutive events of the attempt. */
        val longestPause: Duration? = null,
        /** Number of events of the attempt, 0 if the answer is no stream. */
        val events: Int = 0
    ) : GatewayEvent

    /** Events that open attempts have received; attempts without new ones may be missing. */
    public data class StreamsProgressed(val progress: PersistentMap<RequestId, AttemptProgress>) :
        GatewayEvent

    /** Another entry reported the work of its requests. */
    public data class WorkLearned(val entry: InstanceId, val work: ReportedWork) : GatewayEvent

    /** The attempt ended without a complete answer and may have run. */
    public data class AttemptLost(
        val requestId: RequestId,
        val attempt: Int,
        val cause: AttemptFailure,
        /** For the log, what was seen of [cause]. */
        val detail: String? = null
    ) : GatewayEvent

    /** The upstream has sent nothing for [silence]. */
    public data class AttemptSilent(
        val requestId: RequestId,
        val attempt: Int,
        val silence: Duration
    ) : GatewayEvent

    /** An upstream that lost attempts a short time ago refuses connections. */
    public data class UpstreamCrashed(val upstream: UpstreamKey) : GatewayEvent

    /** Notice in the head of an upstream's answer; valid however that answer ends. */
    public data class UpstreamNotice(
        val upstream: UpstreamKey,
        /** Whether the upstream is leaving and takes no further requests. */
        val isLeaving: Boolean,
        /** Time for which the upstream asks this entry to send no requests, null for none. */
        val pause: Duration?
    ) : GatewayEvent

    /** The head of an upstream's answer named a limit on its requests, or named none. */
    public data class UpstreamRateObserved(
        val upstream: UpstreamKey,
        /** Requests per second from all entries together, 0.0 or more; null for no limit. */
        val requestsPerSecond: Double?
    ) : GatewayEvent

    /** Another entry reported the limits that upstreams named to it. */
    public data class UpstreamRatesLearned(val rates: PersistentMap<UpstreamKey, ObservedRate>) :
        GatewayEvent

    /** The store retained what upstreams announced to entries, which may have ended since. */
    public data class NoticesRetained(val notices: PersistentMap<UpstreamKey, ObservedNotice>) :
        GatewayEvent

    /** Another entry reported which requests wait there, by service. */
    public data class WaitingLearned(
        val entry: InstanceId,
        val waiting: PersistentMap<ServiceName, WaitingRequests>
    ) : GatewayEvent

    /** A configuration came into force. */
    public data class RoutesAccepted(val routes: RouteTable) : GatewayEvent

    /** The list of upstreams changed. */
    public data class UpstreamsListed(val upstreams: PersistentList<ListedUpstream>) :
        GatewayEvent

    /** Operators took zones out of service or put them back; [zones] are out of service now. */
    public data class EvacuationsChanged(val zones: PersistentSet<ZoneName>) : GatewayEvent

    /** Other entries reported their in-flight requests and their view of upstreams. */
    public data class PeersReported(
        /** Number of entries that may be running, this one included; 1 or more. */
        val entryCount: Int,
        val inFlight: PersistentMap<UpstreamKey, Int>,
        /** Locations of the entries that [entryCount] counts, as far as they are known. */
        val entries: PersistentSet<EntryLocation> = persistentSetOf(),
        /** Entries that serve now. */
        val serving: PersistentSet<InstanceId> = persistentSetOf(),
        /** Upstreams that reported to other entries that they are leaving. */
        val leaving: PersistentSet<UpstreamKey> = persistentSetOf(),
        /** Slowdowns of the ranks that the keepers of their groups report as slow. */
        val slowdowns: PersistentMap<InstanceId, Double> = persistentMapOf()
    ) : GatewayEvent

    /** Another entry reported crashes that a request caused. */
    public data class CrashLearned(val record: CrashRecord) : GatewayEvent

    /** Another entry reported crashes and the prompt parts that may have caused them. */
    public data class PromptCrashesLearned(val crashes: PersistentList<PromptCrash>) :
        GatewayEvent

    /** A high quantile of the recent pauses between stream events, by service. */
    public data class PausesObserved(val pauses: PersistentMap<ServiceName, Duration>) :
        GatewayEvent

    /** The observed state became fresh enough to act on, or too stale. */
    public data class ReadinessChanged(val isReady: Boolean) : GatewayEvent

    /** The settings of the process changed. */
    public data class SettingsChanged(val settings: GatewaySettings) : GatewayEvent

    /** The process was asked to stop. */
    public data class StopRequested(
        /** From then on only requests that end before [serviceEndsAt] are accepted. */
        val admissionEndsAt: Instant,
        /** When the requests that are still open end without an upstream's answer. */
        val serviceEndsAt: Instant
    ) : GatewayEvent

    /** Periodic timer tick, on which deadlines and queues are checked. */
    public data object Tick : GatewayEvent
}

/** Load that an upstream reported with an answer. */
public data class EngineLoad(val running: Int, val waiting: Int, val slots: Int)

/** Why an attempt got no connection. */
public enum class ConnectFailure {
    REFUSED,
    TIMED_OUT,

    /** This entry has reached its connection limit for the upstream. */
    LOCAL_LIMIT,

    /** The upstream asked for a pause or started to leave while the connection was opened. */
    UNWANTED
}

/** Why an attempt was lost. */
public enum class AttemptFailure {
    /** The upstream closed or reset the connection. */
    CONNECTION_LOST,

    /** The bytes received are not a valid answer to the request. */
    GARBLED,

    /** The upstream sent nothing for too long. */
    SILENT
}
