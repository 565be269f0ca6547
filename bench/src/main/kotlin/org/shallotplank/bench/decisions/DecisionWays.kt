package org.shallotplank.bench.decisions

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.gateway.GatewayCall
import org.shallotplank.core.gateway.GatewayPolicies
import org.shallotplank.core.gateway.PauseLimit
import org.shallotplank.core.gateway.RequestKind
import org.shallotplank.core.gateway.UpstreamCostTerms
import org.shallotplank.core.gateway.UpstreamLoad
import org.shallotplank.core.gateway.loadAt
import org.shallotplank.core.gateway.promptsAsRequests
import org.shallotplank.core.gateway.workUpstreamCost
import org.shallotplank.core.work.WorkRouting

/** Ways of deciding that can be compared, by name; [STANDING_WAY] is the one in use. */
internal val decisionWays: Map<String, DecisionWay> = mapOf(
    STANDING_WAY to DecisionWay(),
    "admit-by-slots" to
        DecisionWay(GatewayPolicies(maxRunning = { _, _, slots -> slots })),
    "pause-hold-8" to
        byPauses(PauseLimit(8.seconds, separatesConstant = false)),
    "pause-split-4" to byPauses(PauseLimit(4.seconds, separatesConstant = true)),
    "pause-split-8" to byPauses(PauseLimit(8.seconds, separatesConstant = true)),
    "pause-paced-4" to
        byPauses(PauseLimit(4.seconds, separatesConstant = true, pacedShare = 0.5)),
    "wait-by-deadline" to
        DecisionWay(GatewayPolicies(maxWait = { waitWithin(it, deadlineShare = 0.25) })),
    "wait-half-goal" to DecisionWay(GatewayPolicies(maxWait = { it.route.goal * 0.5 })),
    "wait-goal" to DecisionWay(GatewayPolicies(maxWait = { it.route.goal })),
    "no-slow-limit" to DecisionWay(GatewayPolicies(slowSlots = { _, slots, _ -> slots })),
    "fewest-outstanding" to DecisionWay(
        GatewayPolicies(
            upstreamCost = { _, upstream, _, _ ->
                UpstreamCostTerms(
                    upstream.totalOutstanding.toDouble() / upstream.record.slots.coerceAtLeast(1)
                )
            }
        )
    ),
    "count" to DecisionWay(workRouting = WorkRouting.OFF),
    "count-spread" to byWork { load, prompts -> load.requests + prompts },
    "work-left" to byWork { load, _ -> load.timeLeft / USUAL_TIME_LEFT },
    "work-left-spread" to byWork { load, prompts -> load.timeLeft / USUAL_TIME_LEFT + prompts },
    "overlap" to byWork { load, _ -> load.overlapping },
    "overlap-spread" to byWork { load, prompts -> load.overlapping + prompts },
    "overlap-spread-4" to byWork { load, prompts -> load.overlapping + prompts * 4 }
)

/** Limits running requests by pauses that [limit] predicts. */
private fun byPauses(limit: PauseLimit) =
    DecisionWay(GatewayPolicies(maxRunning = limit::maxRunning))

/** Chooses upstreams by [requests], the usual requests that a load and its unread prompts equal. */
private fun byWork(requests: (load: UpstreamLoad, prompts: Double) -> Double) = DecisionWay(
    policies = GatewayPolicies(
        upstreamCost = { state, upstream, call, now ->
            val load = state.loadAt(upstream, call, now)
            val prompts = state.promptsAsRequests(call.service, load.unreadTime)
            workUpstreamCost(state, upstream, call, now, requests(load, prompts))
        }
    ),
    workRouting = WorkRouting.ON
)

/** Time of generating that a usual request has left on average: 96 tokens of 1.56 ms, halved. */
private val USUAL_TIME_LEFT = 75.milliseconds

internal const val STANDING_WAY = "standing"

/** The usual wait of streams, and [deadlineShare] of the time to the deadline for others. */
private fun waitWithin(call: GatewayCall, deadlineShare: Double): Duration =
    if (call.route.kind == RequestKind.STREAM) {
        call.route.goal * 0.7
    } else {
        (call.deadline - call.request.arrivedAt) * deadlineShare
    }
