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

/** What operators have published for requests that are routed by host and path. */
public data class RouteTable(
    val version: ConfigurationVersion,
    val routes: PersistentList<Route>,
    val services: PersistentMap<ServiceName, UpstreamService>,
    val customersByCredential: PersistentMap<String, CredentialHolder> = persistentMapOf(),
    /** Whether requests have to prove who sends them, unless their route is open. */
    val requiresCredentials: Boolean = false,
    val limits: CallerLimits = CallerLimits()
) {
    private val routesByHost: PersistentMap<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
            .toPersistentMap()

    /** Longest acceptable pause between events by service, the shortest one of its routes. */
    internal val longestPauses: Map<ServiceName, Duration> = buildMap {
        for (route in routes) {
            val pause = route.longestPause ?: continue
            for (target in route.targets) {
                put(target.service, minOf(pause, this[target.service] ?: pause))
            }
        }
    }

    /** The route of [host] with the longest prefix that begins [path], or null. */
    public fun match(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** Whether and how a request may be repeated. */
public enum class RequestKind {
    /** May run any number of times. */
    SAFE,

    /** May run once at most. */
    UNSAFE,

    /** Answers with a series of events; repeatable only where the route lets it resume. */
    STREAM
}

/**
 * Requests of one host and path prefix.
 *
 * @property timeout longest time that a request may go without its final answer.
 * @property goal time to the answer, or to the first event of a stream, that callers hope for.
 * @property maxAttempts upstreams that one request may be sent to, 1 or more.
 * @property priority rank of its requests; 0 is the most urgent.
 * @property isOpen whether it needs no credential.
 * @property isResumable whether an unfinished stream may go on at another upstream.
 * @property longestPause pause between events that callers still find acceptable.
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

/** A service that gets [weight] of the sum of the weights of a route's requests. */
public data class RouteTarget(val service: ServiceName, val weight: Int)

/**
 * A service as operators describe it.
 *
 * @property maxConnections connections that one upstream takes from all callers together.
 * @property coldRatePerSecond requests a second that a cold upstream bears; null for no bound.
 * @property engine figures of the model engines, null for plain services.
 */
public data class UpstreamService(
    val name: ServiceName,
    val maxConnections: Int,
    val coldRatePerSecond: Double? = null,
    val engine: EngineProfile? = null
)

/**
 * Published speed of a model engine.
 *
 * @property eventStride token steps of one pass, and so tokens of one event.
 * @property stepTime duration of a step without any request.
 */
public data class EngineProfile(
    val eventStride: Int,
    val stepTime: Duration,
    val placement: PlacementProfile? = null
)

/** Shape of the expert placement of the groups that the engines of a service form. */
public data class PlacementProfile(
    val layers: Int,
    val expertsPerLayer: Int,
    val slotsPerRank: Int,
    val spareSlots: Int,
    /** Time that a rank takes to copy one expert of one layer. */
    val expertCopyTime: Duration
)

/** The customer that holds a credential, with the priority that goes before its routes'. */
public data class CredentialHolder(val customer: CustomerName, val priority: Int? = null)

/** Bounds on what callers may send, and how slowly. */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 1_048_576,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds
)

/** A table without routes; what a process has before it knows a configuration. */
internal val emptyRouteTable = RouteTable(
    version = ConfigurationVersion.None,
    routes = persistentListOf(),
    services = persistentMapOf()
)
