package org.shallotplank.bench

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Scenarios that measure routing, admission, limits and quarantine. */
internal val routingScenarios: PersistentList<Scenario> = persistentListOf(
    Scenario(
        "bearable-load",
        "largest load within the bounds, by routing policy",
        ::sustainableLoad
    ),
    Scenario("routing", "routing policies at 0.9 of the bearable load", ::routing),
    Scenario("decision-cost", "time of a routing decision as upstreams grow", ::decisionCost),
    Scenario("overload", "0.8 to 5 times the bearable load", ::overload),
    Scenario("fair-shares", "one large customer beside nine small ones", ::fairShares),
    Scenario("zone-move", "a zone leaves and returns at 60% load", ::zoneMove),
    Scenario("cold-start", "engines replaced under load", ::coldStart),
    Scenario("retries", "callers that never give up at 1.5 times the load", ::retries),
    Scenario("poison", "a request that crashes each engine", ::poison)
)
