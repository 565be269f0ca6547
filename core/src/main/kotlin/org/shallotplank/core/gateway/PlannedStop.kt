package org.shallotplank.core.gateway

import org.shallotplank.core.Step
import org.shallotplank.core.then

/** Whether [call] arrived so late in a planned stop that it could be cut off at its end. */
internal fun GatewayState.mayOutlastService(call: GatewayCall, context: GatewayContext): Boolean {
    val stop = plannedStop ?: return false
    return context.now >= stop.admissionEndsAt && call.deadline > stop.serviceEndsAt
}

/** Ends all requests that are open at the end of a planned stop. */
internal fun GatewayState.endServiceIfDue(context: GatewayContext): GatewayStep {
    val stop = plannedStop ?: return Step(this)
    if (context.now < stop.serviceEndsAt) return Step(this)
    // Waiting requests first, since each end of another one would have one of them sent.
    val open = calls.values.sortedBy { it.phase is GatewayPhase.Sent }
    return open.fold(GatewayStep(this)) { step, call ->
        step.then { it.endOpen(call, GatewayRefusal.STOPPING, context) }
    }
}
