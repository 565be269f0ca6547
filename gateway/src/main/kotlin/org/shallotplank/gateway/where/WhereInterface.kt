package org.shallotplank.gateway.where

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.shallotplank.core.CustomerName
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.RequestExplanation
import org.shallotplank.core.gateway.RequestQuestion
import org.shallotplank.core.gateway.explain
import org.shallotplank.gateway.caller.requestSizeOf
import org.shallotplank.gateway.caller.sharedPartsOf
import org.shallotplank.gateway.http.EndpointRequest
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpReply

/**
 * Answers which upstream this entry would choose for a request.
 *
 * Reads the state of the entry and changes nothing in it; use it on the event loop only.
 */
internal class WhereInterface(
    private val state: () -> GatewayState,
    private val observations: () -> Observations,
    private val now: () -> Instant
) {
    private val rate = AnswerRate()

    fun answer(request: EndpointRequest): HttpReply {
        if (request.method != "GET") return HttpReply(METHOD_NOT_ALLOWED)
        val question = try {
            questionOf(request)
        } catch (e: IllegalArgumentException) {
            return HttpReply(BAD_REQUEST, e.message.orEmpty().toByteArray(), HttpCall.TEXT)
        }
        val current = state()
        val at = now()
        if (!rate.mayAnswer(at)) return HttpReply(TOO_MANY_REQUESTS)
        val answer = answerOf(current.explain(question, at, MAX_SERVICES), current, at)
        return HttpReply(OK, answer.encode().toByteArray())
    }

    private fun questionOf(request: EndpointRequest): RequestQuestion {
        val path = request.parameter(WhereQuery.PATH).orEmpty()
        require(path.startsWith("/")) { "${WhereQuery.PATH}: expected a path" }
        val host = request.parameter(WhereQuery.HOST).orEmpty().substringBefore(':')
        require(host.isNotEmpty()) { "${WhereQuery.HOST}: expected a host name" }
        return RequestQuestion(
            host = host,
            path = path,
            customer = request.parameter(WhereQuery.CUSTOMER)?.let(::CustomerName),
            priority = request.number(WhereQuery.PRIORITY)?.toInt(),
            timeLeft = request.number(WhereQuery.TIME_LEFT_MILLIS)?.milliseconds,
            size = requestSizeOf(
                tokenCounts = request.parameter(WhereQuery.TOKEN_COUNTS),
                lengthHint = request.parameter(WhereQuery.LENGTH_HINT)
            ),
            sharedParts = sharedPartsOf(
                listOfNotNull(request.parameter(WhereQuery.PROMPT_PREFIX))
            )
        )
    }

    private fun EndpointRequest.number(name: String): Long? {
        val text = parameter(name) ?: return null
        return requireNotNull(text.toLongOrNull()?.takeIf { it in 0..Int.MAX_VALUE }) {
            "$name: expected a whole number, 0 or more"
        }
    }

    private fun answerOf(
        explanation: RequestExplanation,
        state: GatewayState,
        now: Instant
    ): WhereAnswer {
        val observed = observations()
        val services = explanation.services
        val limit = MAX_UPSTREAMS / services.size.coerceAtLeast(1)
        val targets = explanation.route?.targets.orEmpty()
        val leftOut = if (services.isEmpty()) 0 else targets.size - services.size
        val entries = observed.entries.sortedBy { it.reportedAt }
        return WhereAnswer(
            instance = state.settings.instance.value,
            zone = state.settings.zone.value,
            ready = explanation.isReady,
            configuration = explanation.configuration?.value,
            route = explanation.route?.name,
            kind = explanation.route?.kind?.name,
            refusal = explanation.refusal?.name,
            services = services.map { it.answered(state, now, limit) },
            servicesLeftOut = leftOut,
            tables = observed.tables.map {
                WhereTable(it.name, it.revision.era, it.revision.version, now.ageOf(it.answeredAt))
            },
            entries = entries.take(MAX_ENTRIES).map { entry ->
                val waiting = state.waitingElsewhere[entry.instance].orEmpty()
                val work = state.work.reported.byEntry[entry.instance]
                WhereEntry(
                    instance = entry.instance.value,
                    reportAgeMillis = now.ageOf(entry.reportedAt),
                    waitingAgeMillis = waiting.values.minOfOrNull { it.observedAt }
                        ?.let { now.ageOf(it) },
                    workAgeMillis = work?.let { now.ageOf(it.reportedAt) }
                )
            },
            entriesLeftOut = (entries.size - MAX_ENTRIES).coerceAtLeast(0)
        )
    }

    internal companion object {
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val METHOD_NOT_ALLOWED = 405
        private const val TOO_MANY_REQUESTS = 429

        /** Routes are split among a few versions of a service. */
        const val MAX_SERVICES = 8

        /**
         * Candidates, and as many excluded upstreams, over all services of an answer. With a few
         * hundred bytes each, an answer stays below 100 KB.
         */
        const val MAX_UPSTREAMS = 96

        /** The oldest reports are listed, as they are the ones that mislead. */
        const val MAX_ENTRIES = 32
    }
}

/** Milliseconds since [time]. */
internal fun Instant.ageOf(time: Instant): Long =
    (this - time).coerceAtLeast(Duration.ZERO).inWholeMilliseconds
