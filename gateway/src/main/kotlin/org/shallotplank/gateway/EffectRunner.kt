package org.shallotplank.gateway

import kotlin.time.Clock
import org.shallotplank.core.RequestId
import org.shallotplank.core.gateway.ConnectFailure
import org.shallotplank.core.gateway.GatewayEffect
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.gateway.acceptsRequests
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.gateway.upstream.AttemptContext
import org.shallotplank.gateway.upstream.UpstreamAttempt
import org.shallotplank.gateway.upstream.UpstreamConnection
import org.shallotplank.gateway.upstream.UpstreamPool
import org.shallotplank.gateway.upstream.UpstreamTarget
import org.shallotplank.gateway.upstream.forwardedRequest

/**
 * Carries out the effects that the reducer requests, at upstreams and at callers.
 *
 * @param state returns the state after the last event.
 * @param emit passes an event to the reducer.
 */
internal class EffectRunner(
    private val open: OpenExchanges,
    private val pool: UpstreamPool,
    private val headers: HeaderNames,
    private val attempts: AttemptContext,
    private val clock: Clock,
    private val state: () -> GatewayState,
    private val emit: (GatewayEvent) -> Unit,
    private val onCrash: (CrashRecord) -> Unit,
    private val onPromptCrash: (upstream: String) -> Unit,
    private val onNotice: (UpstreamKey) -> Unit,
    private val log: (LogRecord) -> Unit
) {
    /** Carries out [effect]. */
    fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> send(effect)
            is GatewayEffect.CancelAttempt -> withdraw(effect)
            is GatewayEffect.DeliverHeld -> deliver(effect.requestId)
            is GatewayEffect.Refuse -> refuse(effect)
            is GatewayEffect.Cut -> cut(effect.requestId)
            is GatewayEffect.CheckAlive -> checkAlive(effect)
            is GatewayEffect.ShareCrash -> onCrash(effect.record)
            is GatewayEffect.RetainPromptCrash -> onPromptCrash(effect.upstream)
            is GatewayEffect.RetainNotice -> onNotice(effect.upstream)
            is GatewayEffect.Log -> log(effect.record)
        }
    }

    private fun send(send: GatewayEffect.Send) {
        val exchange = open[send.requestId] ?: return
        val target = UpstreamTarget(send.upstream, send.address)
        val attempt = UpstreamAttempt(exchange, send.attempt, target, send.isStream, attempts)
        exchange.attempt = attempt
        exchange.held = null
        pool.acquire(target, send.needsNewConnection, send.maxConnections) { result ->
            result.fold(
                ifLeft = { cause ->
                    if (attempt.isRunning) {
                        attempt.cancel()
                        emit(GatewayEvent.ConnectFailed(send.requestId, send.attempt, cause))
                    }
                },
                ifRight = { connection ->
                    if (attempt.isRunning) {
                        start(attempt, connection, send)
                    } else {
                        pool.release(target, connection)
                    }
                }
            )
        }
    }

    /** Sends the request, unless its upstream stopped accepting requests during the connect. */
    private fun start(
        attempt: UpstreamAttempt,
        connection: UpstreamConnection,
        send: GatewayEffect.Send
    ) {
        val exchange = open[send.requestId]
        if (exchange != null && state().acceptsRequests(send.upstream, clock.now())) {
            attempt.start(connection, forwardedRequest(exchange, send, headers))
            return
        }
        attempt.cancel()
        pool.release(UpstreamTarget(send.upstream, send.address), connection)
        emit(
            GatewayEvent.ConnectFailed(send.requestId, send.attempt, ConnectFailure.UNWANTED)
        )
    }

    private fun withdraw(withdraw: GatewayEffect.CancelAttempt) {
        open[withdraw.requestId]?.attempt
            ?.takeIf { it.attemptNumber == withdraw.attempt }
            ?.cancel()
    }

    private fun deliver(id: RequestId) {
        val exchange = open[id] ?: return
        val held = exchange.held ?: return
        val attempt = exchange.attempt ?: return
        val status = held.status().code()
        if (exchange.isAnswerBegun) {
            exchange.connection.cut()
        } else {
            exchange.connection.sendWhole(held.retain())
        }
        emit(GatewayEvent.AnswerEnded(id, attempt.attemptNumber, status))
    }

    private fun refuse(refuse: GatewayEffect.Refuse) {
        val exchange = open[refuse.requestId] ?: return
        val outcome = when {
            refuse.status == STATUS_UNAVAILABLE -> RequestOutcome.REFUSED
            refuse.status < STATUS_SERVER_ERROR -> RequestOutcome.REJECTED
            else -> RequestOutcome.FAILED
        }
        open.finish(refuse.requestId, outcome)
        exchange.connection.sendError(
            refuse.status,
            refuse.reason.name.lowercase(),
            refuse.retryAfter
        )
    }

    private fun cut(id: RequestId) {
        val exchange = open[id] ?: return
        open.finish(id, RequestOutcome.CUT)
        exchange.connection.cut()
    }

    private fun checkAlive(check: GatewayEffect.CheckAlive) {
        pool.check(UpstreamTarget(check.upstream, check.address)) { isRefused ->
            if (isRefused) emit(GatewayEvent.UpstreamCrashed(check.upstream))
        }
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_UNAVAILABLE = 503
    }
}
