package org.shallotplank.core.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

/**
 * Everything that operators have published, as one immutable value.
 *
 * Read from the service files by the `config` module; a process acts on the highest version it
 * has accepted and never goes back to a lower one.
 */
@Serializable
public data class Configuration(
    val version: ConfigurationVersion = ConfigurationVersion.None,
    val zones: SerializableList<ZoneSettings> = persistentListOf(),
    val services: SerializableList<Service> = persistentListOf(),
    val customers: SerializableList<Customer> = persistentListOf()
) {
    /** Returns the service called [name], or null. */
    public fun service(name: ServiceName): Service? = services.firstOrNull { it.name == name }

    /** Whether operators keep [zone] in service; an unknown zone is not in service. */
    public fun isInService(zone: ZoneName): Boolean = zones.any { it.name == zone && it.inService }
}

/** An availability zone and whether operators have it in service. */
@Serializable
public data class ZoneSettings(
    val name: ZoneName,
    val region: String,
    val inService: Boolean = true
)

/** Kind of the upstreams that serve a service. */
@Serializable
public enum class ServiceKind {
    /** Inference engines that stream tokens. */
    MODEL,

    /** A service that answers each request with one whole document. */
    PLAIN
}

/** One service, as described in its service file. */
@Serializable
public data class Service(
    val name: ServiceName,
    val kind: ServiceKind,
    val operations: SerializableList<Operation> = persistentListOf(),
    val limits: ServiceLimits = ServiceLimits(),
    val stop: StopPolicy = StopPolicy(),
    /** Whether its upstreams themselves refuse orders with an old fencing number. */
    val checksFencing: Boolean = false,
    val rankGroup: RankGroupShape? = null
) {
    /** Returns the first operation that serves [method] on [path], or null. */
    public fun operation(method: String, path: String): Operation? =
        operations.firstOrNull { it.matches(method, path) }
}

/** Urgency of a request; a lower ordinal has precedence. */
@Serializable
public enum class Priority {
    /** Orders and bookings. */
    ORDER,

    /** Drafts for a user who is waiting. */
    INTERACTIVE,

    /** Lookups and summaries that can wait. */
    BACKGROUND
}

/** One kind of request that a service answers. */
@Serializable
public data class Operation(
    val name: String,
    val method: String,
    /** Exact path, or a prefix when it ends in an asterisk. */
    val path: String,
    /** Whether running it twice has the same effect as running it once. */
    val idempotent: Boolean,
    val streamed: Boolean = false,
    val priority: Priority = Priority.INTERACTIVE,
    val deadline: Duration = 30.seconds
) {
    internal fun matches(method: String, path: String): Boolean {
        if (!this.method.equals(method, ignoreCase = true)) return false
        if (!this.path.endsWith('*')) return this.path == path
        return path.startsWith(this.path.dropLast(1))
    }
}

/** Limits on the work that one upstream of a service gets. */
@Serializable
public data class ServiceLimits(
    /** Concurrency limit of an upstream just after a cold start. */
    val coldConcurrency: Int = 2,
    /** Highest concurrency limit of a warm upstream. */
    val maxConcurrency: Int = 16,
    /** Highest number of requests in the queue of one upstream. */
    val maxQueued: Int = 16,
    /** Time between tokens above which an upstream counts as overloaded. */
    val targetStep: Duration = 36.milliseconds,
    /** Time to the first token that callers expect. */
    val targetFirstToken: Duration = 1300.milliseconds,
    /** Highest ratio of retries to requests, 0.0 to 1.0. */
    val retryBudget: Double = 0.1
)

/** How an upstream or its agent may be stopped. */
@Serializable
public data class StopPolicy(
    /** Longest time to wait for requests in flight. */
    val drainTimeout: Duration = 30.seconds,
    /** Whether an unfinished stream may be resumed at another upstream. */
    val resumable: Boolean = false
)

/** Dimensions of the rank groups that serve a model. */
@Serializable
public data class RankGroupShape(
    val ranks: Int,
    val layers: Int,
    val expertsPerLayer: Int,
    /** Expert slots per rank and layer, including spare slots for replicas. */
    val slotsPerRank: Int
)

/** One customer with its token, fair share and limit. */
@Serializable
public data class Customer(
    val name: CustomerName,
    /** SHA-256 of the token, in lower-case hexadecimal. */
    val tokenSha256: String,
    /** Weight of the customer's share of a contended service relative to other customers. */
    val weight: Int = 1,
    /** Requests that the customer may have in flight at one entry instance. */
    val maxConcurrency: Int = 256
)
