package org.shallotplank.core.gateway

/**
 * Terms of the cost of sending a request to an upstream.
 *
 * @property load requests at the upstream and this one, as a share of its slots and scaled by its
 *   slowdown.
 * @property requests the number of requests that [load] counts without this one; prompts that are
 *   not read yet count in part where upstreams are chosen by work.
 * @property zone for an upstream in another zone.
 * @property full for an upstream that is assumed to have no free slot.
 * @property notPreferred for an upstream that another entry owns.
 * @property connecting for a connection that has to be opened.
 */
public data class UpstreamCostTerms(
    val load: Double,
    val requests: Double = 0.0,
    val zone: Double = 0.0,
    val full: Double = 0.0,
    val notPreferred: Double = 0.0,
    val connecting: Double = 0.0
) {
    val total: Double get() = load + (zone + full + notPreferred + connecting)
}
