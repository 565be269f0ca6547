package org.shallotplank.core.gateway

import kotlin.time.Instant
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord

/**
 * What an upstream last said about a limit on its requests.
 *
 * @property requestsPerSecond requests that it accepts from all entries together, null for no
 *   limit.
 */
public data class ObservedRate(val requestsPerSecond: Double?, val observedAt: Instant)

/** Stores the limit that an upstream named in an answer, or that it named none. */
internal fun GatewayState.onUpstreamRateObserved(
    event: GatewayEvent.UpstreamRateObserved,
    context: GatewayContext
): GatewayStep {
    val known = notices[event.upstream]?.rate
    if (known == null && event.requestsPerSecond == null) return Step(this)
    val observed = ObservedRate(event.requestsPerSecond, context.now)
    val state = withNotice(event.upstream) { it.copy(rate = observed) }
    if (known?.requestsPerSecond == event.requestsPerSecond) return Step(state)
    return state.logged(
        logRecord(
            LogEvent.GATEWAY_UPSTREAM_LIMITED,
            "upstream" to event.upstream,
            "service" to upstreams[event.upstream]?.record?.service,
            "requests_per_second" to event.requestsPerSecond,
            "entries" to entryCount
        )
    )
}
