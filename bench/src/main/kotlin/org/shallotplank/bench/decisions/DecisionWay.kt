package org.shallotplank.bench.decisions

import org.shallotplank.core.gateway.GatewayPolicies
import org.shallotplank.core.work.WorkRouting

/** A way of deciding: the decisions and the settings that select among them. */
internal class DecisionWay(
    val policies: GatewayPolicies = GatewayPolicies(),
    val workRouting: WorkRouting = WorkRouting.AUTO
)
