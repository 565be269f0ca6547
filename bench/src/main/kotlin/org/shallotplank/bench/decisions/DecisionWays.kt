package org.shallotplank.bench.decisions

import kotlin.time.Duration
import org.shallotplank.core.gateway.GatewayCall
import org.shallotplank.core.gateway.GatewayPolicies
import org.shallotplank.core.gateway.RequestKind

/** Ways of deciding that can be compared, by name; [STANDING_WAY] is the one in use. */
internal val decisionWays: Map<String, GatewayPolicies> = mapOf(
    STANDING_WAY to GatewayPolicies(),
    "admit-by-slots" to GatewayPolicies(maxRunning = { _, _, slots -> slots }),
    "wait-by-deadline" to GatewayPolicies(maxWait = { waitWithin(it, deadlineShare = 0.25) }),
    "wait-half-goal" to GatewayPolicies(maxWait = { it.route.goal * 0.5 }),
    "wait-goal" to GatewayPolicies(maxWait = { it.route.goal }),
    "no-slow-limit" to GatewayPolicies(slowSlots = { _, slots, _ -> slots }),
    "fewest-outstanding" to GatewayPolicies(
        upstreamCost = { _, upstream, _, _ ->
            upstream.totalOutstanding.toDouble() / upstream.record.slots.coerceAtLeast(1)
        }
    )
)

internal const val STANDING_WAY = "standing"

/** The usual wait of streams, and [deadlineShare] of the time to the deadline for others. */
private fun waitWithin(call: GatewayCall, deadlineShare: Double): Duration =
    if (call.route.kind == RequestKind.STREAM) {
        call.route.goal * 0.7
    } else {
        (call.deadline - call.request.arrivedAt) * deadlineShare
    }
