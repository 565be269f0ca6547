package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName

/** Published configuration of routing by host and path, with its services and credentials. */
public data class RouteTable(
    val version: ConfigurationVersion,
    val routes: PersistentList<Route>,
    val services: PersistentMap<ServiceName, UpstreamService>,
    val customersByCredential: PersistentMap<String, CredentialHolder> = persistentMapOf(),
    /** Whether requests need a known credential, unless their route is open. */
    val requiresCredentials: Boolean = false,
    val limits: CallerLimits = CallerLimits()
) {
    private val routesByHost: PersistentMap<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
            .toPersistentMap()

    /** Longest acceptable pause between events, by service; the minimum over its routes. */
    internal val longestPauses: Map<ServiceName, Duration> = buildMap {
        for (route in routes) {
            val pause = route.longestPause ?: continue
            for (target in route.targets) {
                put(target.service, minOf(pause, this[target.service] ?: pause))
            }
        }
    }

    private val priorities = RequestPriorities(routes) { route ->
        val holders = customersByCredential.values.distinctBy { it.priority }
        if (requiresCredentials && !route.isOpen) holders else holders + null
    }

    /** Services whose requests differ in priority, because of their routes or customers. */
    internal val servicesOfSeveralPriorities: Set<ServiceName>
        get() = priorities.servicesOfSeveralClasses

    /** Returns the route of [host] with the longest matching prefix of [path], or null. */
    public fun match(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The priority of requests on [route] by the customer of [holder] at [service]. */
    internal fun priorityOf(
        route: Route,
        holder: CredentialHolder?,
        service: ServiceName
    ): RequestPriority = priorities.of(route, holder, service)
}

/** Whether and how a request may be retried after it may have run. */
public enum class RequestKind {
    /** May run any number of times. */
    SAFE,

    /** May run at most once. */
    UNSAFE,

    /** Answers with a stream of events; may be retried only if its route is resumable. */
    STREAM
}

/**
 * Requests of one host and path prefix.
 *
 * @property timeout maximum time from the arrival of a request to the end of its answer.
 * @property goal target time to the answer or, for a stream, to its first event.
 * @property maxAttempts maximum number of upstreams that one request may be sent to, 1 or more.
 * @property priority priority of its requests; 0 is the most urgent.
 * @property isOpen whether its requests need no credential.
 * @property isResumable whether an unfinished stream may continue at another upstream.
 * @property longestPause longest acceptable pause between events of a stream, null if not set.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val targets: PersistentList<RouteTarget>,
    val timeout: Duration,
    val goal: Duration,
    val maxAttempts: Int = 1,
    val priority: Int = 0,
    val isOpen: Boolean = false,
    val isResumable: Boolean = false,
    val longestPause: Duration? = null
) {
    /** Whether running a request more than once does no harm. */
    public val isIdempotent: Boolean
        get() = kind == RequestKind.SAFE || (kind == RequestKind.STREAM && isResumable)
}

/** A service and its share of a route's requests: [weight] over the sum of the route's weights. */
public data class RouteTarget(val service: ServiceName, val weight: Int)

/**
 * Published configuration of a service.
 *
 * @property maxConnections connections that one upstream accepts from all its clients together.
 * @property coldRatePerSecond requests per second that a cold upstream can take, null for no limit.
 * @property engine performance of the model engines, null for services without engines.
 */
public data class UpstreamService(
    val name: ServiceName,
    val maxConnections: Int,
    val coldRatePerSecond: Double? = null,
    val engine: EngineProfile? = null
)

/**
 * Published performance of a model engine.
 *
 * @property eventStride token steps per event of a stream, and so tokens per event.
 * @property stepTime duration of a step without load.
 * @property timePerRequest time that each request that generates output adds to a step.
 * @property timePerThousandTokens time that each 1,000 tokens of context add to a step.
 * @property promptTokensPerSecond prompt tokens that an engine reads in a second.
 * @property pairsPerMillion work of reading a prompt that grows with pairs of its tokens.
 * @property chunkTokens maximum number of prompt tokens that an engine reads in one step.
 * @property memoryTokens tokens of prompts and answers that fit into the memory of an engine.
 * @property usualPromptTokens mean tokens of a prompt.
 * @property usualAnswerTokens mean tokens of an answer.
 */
public data class EngineProfile(
    val eventStride: Int,
    val stepTime: Duration,
    val placement: PlacementProfile? = null,
    val timePerRequest: Duration? = null,
    val timePerThousandTokens: Duration? = null,
    val promptTokensPerSecond: Double? = null,
    val pairsPerMillion: Double? = null,
    val chunkTokens: Int? = null,
    val memoryTokens: Int? = null,
    val usualPromptTokens: Int? = null,
    val usualAnswerTokens: Int? = null
)

/** Dimensions of the expert placement in the rank groups of a service. */
public data class PlacementProfile(
    val layers: Int,
    val expertsPerLayer: Int,
    val slotsPerRank: Int,
    val spareSlots: Int,
    /** Time that a rank takes to copy one expert of one layer. */
    val expertCopyTime: Duration
)

/** The customer that holds a credential; unless null, [priority] goes before the route's. */
public data class CredentialHolder(val customer: CustomerName, val priority: Int? = null)

/** Limits on the size of what callers send and on how slowly they may send it. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 1_048_576,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds
)

/** A table without routes, used until the process has read a configuration. */
internal val emptyRouteTable = RouteTable(
    version = ConfigurationVersion.None,
    routes = persistentListOf(),
    services = persistentMapOf()
)
