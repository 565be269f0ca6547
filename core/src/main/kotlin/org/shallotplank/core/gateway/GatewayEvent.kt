package org.shallotplank.core.gateway

import kotlin.time.Duration
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

/** Everything that can happen to a gateway entry. */
public sealed interface GatewayEvent {
    /** A request was read whole. */
    public data class Arrived(val request: GatewayRequest) : GatewayEvent

    /** A caller closed its connection. */
    public data class CallerLeft(val requestId: RequestId) : GatewayEvent

    /** No connection to the upstream could be made; nothing was sent. */
    public data class ConnectFailed(
        val requestId: RequestId,
        val attempt: Int,
        val cause: ConnectFailure
    ) : GatewayEvent

    /** The upstream said that it did not run the attempt. */
    public data class NotRun(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        /** Whether another process has the upstream's address. */
        val isMisdirected: Boolean
    ) : GatewayEvent

    /** The head of the answer came. */
    public data class HeadReceived(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        val load: EngineLoad?
    ) : GatewayEvent

    /** The first bytes of the answer went to the caller. */
    public data class AnswerBegun(val requestId: RequestId, val attempt: Int) : GatewayEvent

    /** A whole answer is held back until it is known whether it is delivered. */
    public data class AnswerHeld(val requestId: RequestId, val attempt: Int, val status: Int) :
        GatewayEvent

    /** The last bytes of the answer went to the caller. */
    public data class AnswerEnded(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        /** Time from the sending of a stream's attempt to its first event. */
        val firstEvent: Duration? = null,
        /** Longest time between two events of the attempt. */
        val longestPause: Duration? = null
    ) : GatewayEvent

    /** The attempt ended without a whole answer, and may have run. */
    public data class AttemptLost(
        val requestId: RequestId,
        val attempt: Int,
        val cause: AttemptFailure
    ) : GatewayEvent

    /** Nothing came from the upstream for [silence]. */
    public data class AttemptSilent(
        val requestId: RequestId,
        val attempt: Int,
        val silence: Duration
    ) : GatewayEvent

    /** The upstream refuses connections just after attempts there were lost. */
    public data class UpstreamCrashed(val upstream: UpstreamKey) : GatewayEvent

    /** What an upstream said of itself in the head of an answer, whatever became of the answer. */
    public data class UpstreamNotice(
        val upstream: UpstreamKey,
        /** Whether it takes no further requests. */
        val isLeaving: Boolean,
        /** Time for which it wants no requests from this entry. */
        val pause: Duration?
    ) : GatewayEvent

    /** A configuration came into force. */
    public data class RoutesAccepted(val routes: RouteTable) : GatewayEvent

    /** The list of upstreams changed. */
    public data class UpstreamsListed(val upstreams: PersistentList<ListedUpstream>) :
        GatewayEvent

    /** Operators took zones out of service, or put them back. */
    public data class EvacuationsChanged(val zones: PersistentSet<ZoneName>) : GatewayEvent

    /** Other entries told what they have in flight. */
    public data class PeersReported(
        /** Entries that may be running, this one included; 1 or more. */
        val entryCount: Int,
        val inFlight: PersistentMap<UpstreamKey, Int>,
        /** The same entries, as far as it is known where they run. */
        val entries: PersistentSet<EntryLocation> = persistentSetOf(),
        /** Those that serve now. */
        val serving: PersistentSet<InstanceId> = persistentSetOf(),
        /** Upstreams that told other entries that they leave. */
        val leaving: PersistentSet<UpstreamKey> = persistentSetOf(),
        /** Pace of the ranks that the keepers of their groups find slow. */
        val slowdowns: PersistentMap<InstanceId, Double> = persistentMapOf()
    ) : GatewayEvent

    /** Another entry knows of crashes. */
    public data class CrashLearned(val record: CrashRecord) : GatewayEvent

    /** Pauses between the events of streams of late, by service. */
    public data class PausesObserved(val pauses: PersistentMap<ServiceName, Duration>) :
        GatewayEvent

    /** Whether what the process believes is fresh enough to act on. */
    public data class ReadinessChanged(val isReady: Boolean) : GatewayEvent

    /** The settings of the process changed. */
    public data class SettingsChanged(val settings: GatewaySettings) : GatewayEvent

    /** The process was asked to stop. */
    public data object StopRequested : GatewayEvent

    /** Time passed. */
    public data object Tick : GatewayEvent
}

/** Load that an upstream told with an answer. */
public data class EngineLoad(val running: Int, val waiting: Int, val slots: Int)

/** Why a connection was not made. */
public enum class ConnectFailure {
    REFUSED,
    TIMED_OUT,

    /** This entry has as many connections there as it may. */
    LOCAL_LIMIT,

    /** The upstream asked for no more requests while the connection was made. */
    UNWANTED
}

/** Why an attempt was lost. */
public enum class AttemptFailure {
    /** The upstream closed or reset the connection. */
    CONNECTION_LOST,

    /** What came is not an answer to the request. */
    GARBLED,

    /** Nothing came for too long. */
    SILENT
}
