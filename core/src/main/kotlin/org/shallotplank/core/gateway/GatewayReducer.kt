package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.time.Instant
import org.shallotplank.core.Step

/**
 * Returns the state after [event] and the effects that it requests.
 *
 * Each request that arrived ends in exactly one of four ways: an upstream's answer is delivered,
 * the request is refused, an unfinished answer is cut off, or the caller disconnects. A request
 * whose route is not idempotent is retried only if nothing of it was sent, or if the upstream
 * reported that it did not run it.
 */
public fun GatewayState.on(event: GatewayEvent, now: Instant, random: Random): GatewayStep {
    val context = GatewayContext(now, random)
    return when (event) {
        is GatewayEvent.Arrived -> onArrived(event.request, context)
        is GatewayEvent.CallerLeft -> onCallerLeft(event.requestId, context)
        is GatewayEvent.ConnectFailed -> onConnectFailed(event, context)
        is GatewayEvent.NotRun -> onNotRun(event, context)
        is GatewayEvent.HeadReceived -> Step(onHeadReceived(event, now))
        is GatewayEvent.AnswerBegun -> Step(onAnswerBegun(event, now))
        is GatewayEvent.AnswerHeld -> onAnswerHeld(event, context)
        is GatewayEvent.AnswerEnded -> onAnswerEnded(event, context)
        is GatewayEvent.AttemptLost -> onAttemptLost(event, context)
        is GatewayEvent.AttemptSilent -> onAttemptSilent(event, context)
        is GatewayEvent.UpstreamCrashed -> onUpstreamCrashed(event.upstream, context)
        is GatewayEvent.UpstreamNotice -> onUpstreamNotice(event, context)
        is GatewayEvent.UpstreamRateObserved -> onUpstreamRateObserved(event, context)
        is GatewayEvent.UpstreamRatesLearned -> onUpstreamRatesLearned(event.rates, context)
        is GatewayEvent.NoticesRetained -> onNoticesRetained(event.notices, context)
        is GatewayEvent.WaitingLearned -> onWaitingLearned(event, context)
        is GatewayEvent.RoutesAccepted -> onRoutesAccepted(event.routes, context)
        is GatewayEvent.UpstreamsListed -> onUpstreamsListed(event.upstreams, context)
        is GatewayEvent.EvacuationsChanged -> onEvacuationsChanged(event.zones, context)
        is GatewayEvent.PeersReported -> onPeersReported(event, context)
        is GatewayEvent.PausesObserved -> onPausesObserved(event.pauses, context)
        is GatewayEvent.StreamsProgressed -> Step(onStreamsProgressed(event.progress))
        is GatewayEvent.WorkLearned -> Step(copy(work = work.withReport(event.entry, event.work)))
        is GatewayEvent.CrashLearned -> onCrashLearned(event.record, context)
        is GatewayEvent.PromptCrashesLearned -> onPromptCrashesLearned(event.crashes, context)
        is GatewayEvent.ReadinessChanged ->
            onReadinessChanged(event.isReady, context)
        is GatewayEvent.SettingsChanged -> Step(copy(settings = event.settings))
        is GatewayEvent.StopRequested -> Step(copy(plannedStop = event))
        GatewayEvent.Tick -> onTick(context)
    }
}

/** Current time and source of randomness while one event is handled. */
internal class GatewayContext(val now: Instant, val random: Random)
