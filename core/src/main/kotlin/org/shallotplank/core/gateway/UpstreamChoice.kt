package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.time.Instant

/** An upstream that may be chosen, and its cost. */
public data class UpstreamCandidate(val upstream: GatewayUpstream, val cost: UpstreamCostTerms)

/** An upstream that may not be chosen. */
public data class ExcludedUpstream(val upstream: GatewayUpstream, val reason: UpstreamExclusion)

/**
 * The upstreams of a service, seen from one request.
 *
 * @property candidates upstreams that may be chosen, in the order in which they are drawn.
 * @property excluded the other upstreams of the service.
 */
public data class UpstreamChoice(
    val candidates: List<UpstreamCandidate>,
    val excluded: List<ExcludedUpstream>
) {
    /** Candidates that [draw] can return; more than one if their costs are almost equal. */
    public val drawnAmong: List<UpstreamCandidate>
        get() {
            val least = candidates.minOfOrNull { it.cost.total } ?: return emptyList()
            return candidates.filter { it.cost.total - least < TIE_BREAK }
        }

    /** Draws the candidate with the lowest cost, null if there is none. */
    internal fun draw(random: Random): GatewayUpstream? =
        candidates.minByOrNull { it.cost.total + random.nextDouble() * TIE_BREAK }?.upstream
}

/** Which upstreams [call] may be sent to now and at what cost; draws no random number. */
internal fun GatewayState.upstreamChoice(
    call: GatewayCall,
    context: GatewayContext
): UpstreamChoice {
    val selected = selectUpstreams(call, context)
        .preferring(UpstreamExclusion.SLOW) { !it.isAtSlowLimit }
        .preferring(UpstreamExclusion.NO_FREE_SLOT) { !call.isMoved || it.hasFreeSlot(context) }
        // Expected memory is an estimate, so it excludes no upstream if it would exclude all.
        .preferring(UpstreamExclusion.MEMORY) { hasMemoryFor(it, call, context.now) }
    val candidates = selected.kept.map {
        UpstreamCandidate(it, settings.policies.upstreamCost(this, it, call, context.now))
    }
    return UpstreamChoice(candidates, selected.excluded)
}

/** Upstreams to which [call] may be sent now. */
internal fun GatewayState.eligibleUpstreams(
    call: GatewayCall,
    context: GatewayContext
): List<GatewayUpstream> = selectUpstreams(call, context).kept

private class Selection(val kept: List<GatewayUpstream>, val excluded: List<ExcludedUpstream>) {
    /** Excludes the upstreams that do not meet [condition], unless none meets it. */
    inline fun preferring(
        reason: UpstreamExclusion,
        condition: (GatewayUpstream) -> Boolean
    ): Selection {
        val (meeting, others) = kept.partition(condition)
        if (meeting.isEmpty() || others.isEmpty()) return this
        return Selection(meeting, excluded + others.map { ExcludedUpstream(it, reason) })
    }
}

private fun GatewayState.selectUpstreams(call: GatewayCall, context: GatewayContext): Selection {
    val kept = mutableListOf<GatewayUpstream>()
    val excluded = mutableListOf<ExcludedUpstream>()
    for (upstream in upstreamsOf(call.service)) {
        when (val reason = exclusionOf(upstream, call, context)) {
            null -> kept += upstream
            else -> excluded += ExcludedUpstream(upstream, reason)
        }
    }
    return Selection(kept, excluded)
}

/** Why [call] may not be sent to [upstream] now, whatever other upstreams there are. */
private fun GatewayState.exclusionOf(
    upstream: GatewayUpstream,
    call: GatewayCall,
    context: GatewayContext
): UpstreamExclusion? {
    if (!isInService(upstream)) return UpstreamExclusion.ZONE_OUT_OF_SERVICE
    upstream.exclusionAt(context.now)?.let { return it }
    val coldRate = service(call.service)?.coldRatePerSecond
    return when {
        upstream.record.id in call.excluded -> UpstreamExclusion.TRIED_BEFORE
        !upstream.hasRateLeft(coldRate?.let { rateShareOf(it, upstream) }, context.now) ->
            UpstreamExclusion.COLD_RATE
        requestsLeft(upstream, context) == 0 -> UpstreamExclusion.ANNOUNCED_RATE
        else -> null
    }
}

/** Cost by utilization, zone, ownership and the need for a new connection. */
internal fun defaultUpstreamCost(
    state: GatewayState,
    upstream: GatewayUpstream,
    call: GatewayCall,
    now: Instant
): UpstreamCostTerms =
    workUpstreamCost(state, upstream, call, now, upstream.totalOutstanding.toDouble())

/** Cost of an upstream whose load is that of [requests] usual requests. */
public fun workUpstreamCost(
    state: GatewayState,
    upstream: GatewayUpstream,
    call: GatewayCall,
    now: Instant,
    requests: Double
): UpstreamCostTerms {
    val hasKeptConnection = call.route.isIdempotent && now < upstream.connectionKeptUntil
    return UpstreamCostTerms(
        load = (requests + 1) * upstream.slowdown / upstream.record.slots.coerceAtLeast(1),
        requests = requests,
        zone = if (upstream.record.zone == state.settings.zone) 0.0 else CROSS_ZONE_COST,
        full = if (now < upstream.fullUntil) FULL_COST else 0.0,
        notPreferred = if (upstream.ownership?.isPreferred == false) NOT_PREFERRED_COST else 0.0,
        connecting = if (hasKeptConnection) 0.0 else NEW_CONNECTION_COST
    )
}

/** Traffic between zones costs money; this weighs less than one busy slot of an upstream. */
private const val CROSS_ZONE_COST = 0.02
private const val FULL_COST = 1.0

/** A new connection takes a few milliseconds; this weighs less than one busy slot. */
private const val NEW_CONNECTION_COST = 0.08

/**
 * Other entries report late what they have in flight at the upstreams that they own. This cost, a
 * third of the slots, exceeds the usual change in load until the next report arrives.
 */
private const val NOT_PREFERRED_COST = 0.35
private const val TIE_BREAK = 0.01
