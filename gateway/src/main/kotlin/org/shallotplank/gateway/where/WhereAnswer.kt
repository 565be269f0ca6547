package org.shallotplank.gateway.where

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * What a gateway entry would do with a request now, as it answers at [WHERE_PATH].
 *
 * It holds no credentials, no addresses and nothing of other requests but their numbers. Ages and
 * times are in milliseconds.
 *
 * @property ready whether the entry serves callers.
 * @property configuration version of the configuration in force, null before the first one.
 * @property route name of the matching route, null if there is none.
 * @property kind kind of the requests of the route.
 * @property refusal why the request is refused whatever its service is; null if it is not.
 * @property tables copies of the store's tables.
 * @property entries other entries that count as alive, those with the oldest reports first.
 */
@Serializable
public data class WhereAnswer(
    val instance: String,
    val zone: String,
    val ready: Boolean,
    val configuration: Long?,
    val route: String?,
    val kind: String?,
    val refusal: String?,
    val services: List<WhereService>,
    val servicesLeftOut: Int,
    val tables: List<WhereTable>,
    val entries: List<WhereEntry>,
    val entriesLeftOut: Int
) {
    /** The answer in JSON. */
    public fun encode(): String = Json.encodeToString(serializer(), this)

    public companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Reads an answer; throws a SerializationException if [text] is none. */
        public fun decode(text: String): WhereAnswer = json.decodeFromString(serializer(), text)
    }
}

/**
 * A service that the request may go to.
 *
 * @property drawn whether the service takes part in the draw by weight.
 * @property byWork whether upstreams of the service are chosen by expected work.
 * @property readMillis expected time of reading the prompt, null if too little is known.
 * @property generateMillis expected time of generating the answer or of processing.
 * @property outputTokens expected tokens of the answer.
 * @property drawnAmong ids of the upstreams that may be chosen; more than one if their costs are
 *   almost equal.
 * @property candidates upstreams that may be chosen, at the lowest cost first.
 * @property excludedByReason number of the other upstreams, by reason.
 */
@Serializable
public data class WhereService(
    val service: String,
    val weight: Int,
    val drawn: Boolean,
    val priority: Int,
    val admission: WhereAdmission,
    val byWork: Boolean,
    val readMillis: Double?,
    val generateMillis: Double?,
    val outputTokens: Double?,
    val drawnAmong: List<String>,
    val candidates: List<WhereCandidate>,
    val candidatesLeftOut: Int,
    val excludedByReason: Map<String, Int>,
    val excluded: List<WhereExcluded>,
    val excludedLeftOut: Int
)

/**
 * Admission of the request.
 *
 * @property outcome `ADMITTED`, `QUEUED` or `REFUSED`.
 * @property refusal why it is refused, null if it is not.
 * @property refusedBy rule of the queue that refuses it, null if another one does.
 * @property capacity requests of the service that the entry may run at once.
 * @property reserved capacity that the request leaves free for more urgent ones.
 * @property expectedWaitMillis time until it is expected to start if it has to wait.
 * @property longestWaitMillis time within which it has to start.
 */
@Serializable
public data class WhereAdmission(
    val outcome: String,
    val refusal: String?,
    val refusedBy: String?,
    val capacity: Int,
    val running: Int,
    val waiting: Int,
    val reserved: Int,
    val expectedWaitMillis: Long,
    val longestWaitMillis: Long
)

/** An upstream that may be chosen, with the terms of its [cost]. */
@Serializable
public data class WhereCandidate(
    val upstream: WhereUpstream,
    val cost: Double,
    val load: Double,
    val countedRequests: Double,
    val zoneCost: Double,
    val fullCost: Double,
    val notPreferredCost: Double,
    val connectingCost: Double
)

/**
 * An upstream that may not be chosen.
 *
 * @property endsInMillis time until the reason ends by itself, null if that is not known.
 */
@Serializable
public data class WhereExcluded(
    val upstream: WhereUpstream,
    val reason: String,
    val endsInMillis: Long?
)

/**
 * An upstream as the entry observes it.
 *
 * @property group rank group, null for a plain service.
 * @property own requests of this entry in flight.
 * @property others requests of the other entries in flight, as last reported.
 * @property slowdown time of its work over the usual time, as the keeper of its group reports.
 * @property allowed requests that it may run because of its slowdown, null for no limit.
 * @property answerAgeMillis time since the head of an answer last arrived from it, null for never.
 * @property requestsPerSecond limit that it announced, null for none.
 * @property limitAgeMillis time since it last answered with a limit or lifted it, null for never.
 * @property workReportAgeMillis age of the oldest report that is used on the work which requests of
 *   other entries have left there, null without one.
 */
@Serializable
public data class WhereUpstream(
    val id: String,
    val incarnation: Long,
    val zone: String,
    val group: String?,
    val rank: Int?,
    val slots: Int,
    val own: Int,
    val others: Int,
    val slowdown: Double,
    val allowed: Int?,
    val answerAgeMillis: Long?,
    val requestsPerSecond: Double?,
    val limitAgeMillis: Long?,
    val workReportAgeMillis: Long?
)

/** A copy of a table of the store, of [version] in [era], and the age of its last confirmation. */
@Serializable
public data class WhereTable(
    val name: String,
    val era: Long,
    val version: Long,
    val ageMillis: Long
)

/**
 * Another entry, and the ages of what it reported last.
 *
 * @property reportAgeMillis of its requests in flight.
 * @property waitingAgeMillis of its waiting requests, null without a report.
 * @property workAgeMillis of the work of its requests, null without a report.
 */
@Serializable
public data class WhereEntry(
    val instance: String,
    val reportAgeMillis: Long,
    val waitingAgeMillis: Long?,
    val workAgeMillis: Long?
)

/** Path at the metrics address of a gateway entry. */
public const val WHERE_PATH: String = "/where"
