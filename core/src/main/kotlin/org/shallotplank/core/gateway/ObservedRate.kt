package org.shallotplank.core.gateway

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/**
 * Limit on its requests that an upstream last announced or lifted.
 *
 * @property requestsPerSecond requests that it accepts from all entries together, null for no
 *   limit.
 * @property observedAt when an entry received that answer.
 */
public data class ObservedRate(val requestsPerSecond: Double?, val observedAt: Instant)

/** Limits that upstreams named in answers to this or another entry, and that they have lifted. */
public val GatewayState.observedRates: Map<UpstreamKey, ObservedRate>
    get() = notices.mapNotNull { (key, notice) -> notice.rate?.let { key to it } }.toMap()

/** Stores the limit that an upstream named in an answer, or that it named none. */
internal fun GatewayState.onUpstreamRateObserved(
    event: GatewayEvent.UpstreamRateObserved,
    context: GatewayContext
): GatewayStep {
    val known = notices[event.upstream]?.rate
    if (known?.requestsPerSecond == null && event.requestsPerSecond == null) return Step(this)
    val observed = ObservedRate(event.requestsPerSecond, context.now)
    val step = withRate(event.upstream, observed, source = "answer")
        .then { it.resizeQueues(context) }
    if (known?.requestsPerSecond == event.requestsPerSecond) return step
    return step.then { it.effect(GatewayEffect.RetainNotice(event.upstream)) }
}

/** Stores what other entries observed later than this one. */
internal fun GatewayState.onUpstreamRatesLearned(
    rates: Map<UpstreamKey, ObservedRate>,
    context: GatewayContext,
    source: String = "peer"
): GatewayStep = rates.entries.fold(GatewayStep(this)) { step, (key, rate) ->
    step.then { state ->
        val known = state.notices[key]?.rate
        val isLater = known == null || rate.observedAt > known.observedAt
        if (isLater) state.withRate(key, rate, source) else Step(state)
    }
}.then { it.resizeQueues(context) }

private fun GatewayState.withRate(
    key: UpstreamKey,
    rate: ObservedRate,
    source: String
): GatewayStep {
    val known = notices[key]?.rate
    val state = withNotice(key) { it.copy(rate = rate) }
    if (known != null && known.requestsPerSecond == rate.requestsPerSecond) return Step(state)
    return state.logged(
        logRecord(
            LogEvent.GATEWAY_UPSTREAM_LIMITED,
            "upstream" to key,
            "service" to upstreams[key]?.record?.service,
            "requests_per_second" to rate.requestsPerSecond,
            "source" to source,
            "entries" to entryCount
        )
    )
}

/**
 * Number of requests that this entry may send to [upstream] now, null if it named no limit.
 *
 * The entries divide the limit of one [LIMIT_WINDOW] among them, since the limit of a second may be
 * below one request. An entry without a share learns from the others when the limit ends. If none
 * has got an answer for [STALE_TIME], each entry may send one request in that time.
 */
internal fun GatewayState.requestsLeft(upstream: GatewayUpstream, context: GatewayContext): Int? {
    val rate = upstream.notice.rate ?: return null
    val perSecond = rate.requestsPerSecond ?: return null
    val share = rateShareOf(perSecond * LIMIT_WINDOW.inWholeSeconds, upstream)
    val sent = upstream.sendsWithin(LIMIT_WINDOW, context.now)
    if (sent < share) return share - sent
    val isStale = context.now - rate.observedAt >= STALE_TIME
    return if (isStale && upstream.sendsWithin(STALE_TIME, context.now) == 0) 1 else 0
}

/** Window in which requests to an upstream with a limit are counted. */
private val LIMIT_WINDOW = 4.seconds

/** Longer than the owner of an upstream waits between two requests, whatever the limit. */
private val STALE_TIME = 8.seconds
