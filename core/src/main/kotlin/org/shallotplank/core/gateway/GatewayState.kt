package org.shallotplank.core.gateway

import kotlin.LazyThreadSafetyMode.NONE
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.Step
import org.shallotplank.core.ZoneName
import org.shallotplank.core.admission.AdmissionQueue
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.work.WorkEstimates

/** Next state of a gateway entry and the side effects that it requests. */
public typealias GatewayStep = Step<GatewayState, GatewayEffect>

/**
 * State from which a gateway entry decides how to handle requests.
 *
 * @property isReady whether the observed state is fresh enough to act on.
 * @property readySince when the entry last became ready.
 * @property plannedStop the times of the planned stop, null unless the process was asked to stop.
 * @property earlyRequests requests that arrived before the entry was ready, in order of arrival.
 * @property outOfService zones whose upstreams receive no requests.
 * @property entryCount number of entries that may be running, by which global limits are divided.
 * @property entries locations of these entries, as far as known; upstreams are divided among them.
 * @property servingEntries the entries that serve now.
 * @property notices notices that upstreams sent with their answers. Their number is bounded. A
 *   notice is kept while its upstream is not listed, because the upstream's row may reappear.
 * @property waitingElsewhere what other entries last reported of their waiting requests.
 * @property outageRefusals refusals while no upstream of a service answered.
 * @property work what was learned about the work of requests.
 */
public data class GatewayState(
    val settings: GatewaySettings,
    val routes: RouteTable? = null,
    val isReady: Boolean = false,
    val readySince: Instant = Instant.DISTANT_PAST,
    val plannedStop: GatewayEvent.StopRequested? = null,
    val earlyRequests: PersistentList<GatewayRequest> = persistentListOf(),
    val calls: PersistentMap<RequestId, GatewayCall> = persistentMapOf(),
    val upstreams: PersistentMap<UpstreamKey, GatewayUpstream> = persistentMapOf(),
    val outOfService: PersistentSet<ZoneName> = persistentSetOf(),
    val queues: PersistentMap<ServiceName, AdmissionQueue> = persistentMapOf(),
    val retries: PersistentMap<ServiceName, RetryWindow> = persistentMapOf(),
    val pauseEstimates: PersistentMap<ServiceName, EventPauseEstimate> = persistentMapOf(),
    val quarantine: Quarantine = Quarantine(),
    val partQuarantine: PartQuarantine = PartQuarantine(),
    val entryCount: Int = 1,
    val entries: PersistentSet<EntryLocation> = persistentSetOf(),
    val servingEntries: PersistentSet<InstanceId> = persistentSetOf(),
    val notices: PersistentMap<UpstreamKey, ObservedNotice> = persistentMapOf(),
    val waitingElsewhere: PersistentMap<
        InstanceId,
        PersistentMap<ServiceName, WaitingRequests>
        > = persistentMapOf(),
    val outageRefusals: PersistentMap<ServiceName, OutageRefusals> = persistentMapOf(),
    val work: WorkEstimates = WorkEstimates()
) {
    /** Calls with an open attempt, by upstream. */
    internal val sentCalls: Map<UpstreamKey, List<GatewayCall>> by lazy(NONE) {
        calls.values.filter { it.phase is GatewayPhase.Sent }
            .groupBy { (it.phase as GatewayPhase.Sent).upstream }
    }

    /** Whether the process was asked to stop. */
    public val isStopping: Boolean get() = plannedStop != null

    /** Number of open attempts of this entry, by upstream. */
    public val inFlight: Map<UpstreamKey, Int>
        get() = upstreams.values.filter { it.outstanding > 0 }
            .associate { it.key to it.outstanding }

    internal val routesInForce: RouteTable get() = routes ?: emptyRouteTable

    internal fun service(name: ServiceName): UpstreamService? = routesInForce.services[name]

    internal fun upstreamsOf(service: ServiceName): List<GatewayUpstream> =
        upstreams.values.filter { it.record.service == service }

    internal fun isInService(upstream: GatewayUpstream): Boolean =
        upstream.record.zone !in outOfService

    internal fun put(call: GatewayCall): GatewayState =
        copy(calls = calls.put(call.request.id, call))

    internal fun put(upstream: GatewayUpstream): GatewayState =
        copy(upstreams = upstreams.put(upstream.key, upstream))

    internal inline fun update(
        key: UpstreamKey,
        change: (GatewayUpstream) -> GatewayUpstream
    ): GatewayState = upstreams[key]?.let { put(change(it)) } ?: this

    internal fun retriesOf(service: ServiceName): RetryWindow =
        retries[service] ?: RetryWindow(settings.retryWindow)

    /** Whether one more retry for [service] stays within this entry's share of the retry budget. */
    internal fun mayRetry(service: ServiceName, now: Instant): Boolean = retriesOf(service).allows(
        ratio = settings.retryRatio,
        slack = settings.retrySlack.toDouble() / entryCount.coerceAtLeast(1),
        now = now
    )

    internal fun logged(record: LogRecord): GatewayStep =
        Step(this, persistentListOf(GatewayEffect.Log(record)))

    internal fun effect(effect: GatewayEffect): GatewayStep = Step(this, persistentListOf(effect))
}
