package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Instant
import org.shallotplank.core.ServiceName

/**
 * Decisions of a gateway entry that can be replaced, so that two ways can be compared.
 *
 * The defaults are the decisions that processes use. Implementations must not keep state.
 *
 * @property maxRunning returns how many requests of a service all entries together may run, given
 *   the sum of the slots of its usable upstreams.
 * @property maxWait returns how long a call may wait before it is sent and still be useful to its
 *   caller; [GatewayCall.deadline] limits the wait further.
 * @property upstreamCost returns the estimated cost of sending a call to an upstream; a busy
 *   upstream costs 1.0, and the call goes to the one with the lowest cost.
 * @property slowSlots returns how many requests an upstream may run that is slower by a factor,
 *   given its slots and the usual pause of its service's streams.
 */
public class GatewayPolicies(
    public val maxRunning: (state: GatewayState, service: ServiceName, slots: Int) -> Int =
        { state, service, slots -> state.maxRunningWithinPause(service, slots) },
    public val maxWait: (call: GatewayCall) -> Duration = ::usualMaxWait,
    public val upstreamCost: UpstreamCost = ::usualUpstreamCost,
    public val slowSlots: (usual: UsualPause, slots: Int, slowdown: Double) -> Int =
        UsualPause::allowedRequests
)

/** Estimated cost of sending [GatewayCall] to [GatewayUpstream] at a point in time. */
public typealias UpstreamCost =
    (
        state: GatewayState,
        upstream: GatewayUpstream,
        call: GatewayCall,
        now: Instant
    ) -> UpstreamCostTerms
