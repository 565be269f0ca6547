package org.shallotplank.config

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Operation
import org.shallotplank.core.config.Priority
import org.shallotplank.core.config.ServiceKind
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.config.StopPolicy

private const val MAX_CONCURRENCY = 10_000
private const val HOUR_SECONDS = 3_600
private const val MINUTE_MILLIS = 60_000

/** Keys of the table `[service]`. */
internal object ServiceKeys {
    val name = KeySpec(
        name = "name",
        rule = name(::ServiceName),
        doc = "Name of the service, as the agents of its upstreams give it in their settings. " +
            "Unique among all service files."
    )
    val kind = KeySpec(
        name = "kind",
        rule = choice<ServiceKind>(),
        doc = "`model` for inference engines that stream tokens, `plain` for a service that " +
            "answers whole documents."
    )
    val checksFencing = KeySpec(
        name = "checks_fencing",
        rule = flag(),
        default = false,
        doc = "Whether the upstreams refuse orders with an old fencing number by themselves. " +
            "When false, only the agent beside the upstream checks."
    )
    val table = TableSpec(
        name = "service",
        shape = TableShape.SINGLE,
        doc = "What the service is. Its presence makes the file a service file.",
        keys = persistentListOf(name, kind, checksFencing)
    )
}

/** Keys of the table `[limits]`. */
internal object LimitsKeys {
    private val defaults = ServiceLimits()

    val coldConcurrency = KeySpec(
        name = "cold_concurrency",
        rule = wholeNumber(1..MAX_CONCURRENCY, unit = "requests"),
        default = defaults.coldConcurrency,
        doc = "Requests that an upstream bears at once just after a cold start. At most " +
            "`max_concurrency`."
    )
    val maxConcurrency = KeySpec(
        name = "max_concurrency",
        rule = wholeNumber(1..MAX_CONCURRENCY, unit = "requests"),
        default = defaults.maxConcurrency,
        doc = "Requests that a warm upstream bears at once."
    )
    val maxQueued = KeySpec(
        name = "max_queued",
        rule = wholeNumber(0..MAX_CONCURRENCY, unit = "requests"),
        default = defaults.maxQueued,
        doc = "Requests that may wait in front of one upstream; more are refused as not run."
    )
    val targetStep = KeySpec(
        name = "target_step_millis",
        rule = millis(1..MINUTE_MILLIS),
        default = defaults.targetStep,
        doc = "Time between tokens above which an upstream counts as overloaded. Only for `model`."
    )
    val targetFirstToken = KeySpec(
        name = "target_first_token_millis",
        rule = millis(1..MINUTE_MILLIS),
        default = defaults.targetFirstToken,
        doc = "Time to the first token that callers expect. Only for `model`."
    )
    val retryBudget = KeySpec(
        name = "retry_budget_ratio",
        rule = ratio(),
        default = defaults.retryBudget,
        doc = "Share of extra attempts per request that retries may add."
    )
    val table = TableSpec(
        name = "limits",
        shape = TableShape.SINGLE,
        doc = "Bounds on what one upstream is given.",
        keys = persistentListOf(
            coldConcurrency,
            maxConcurrency,
            maxQueued,
            targetStep,
            targetFirstToken,
            retryBudget
        )
    )
}

/** Keys of the table `[stop]`. */
internal object StopKeys {
    private val defaults = StopPolicy()

    val drainTimeout = KeySpec(
        name = "drain_timeout_seconds",
        rule = seconds(1..HOUR_SECONDS),
        default = defaults.drainTimeout,
        doc = "Longest wait for requests in flight at a planned stop. At least the longest " +
            "`deadline_seconds` of the operations, so that a planned stop cuts off no request."
    )
    val resumable = KeySpec(
        name = "resumable",
        rule = flag(),
        default = defaults.resumable,
        doc = "Whether an unfinished stream may go on at another upstream. Needs a streamed " +
            "operation, and every streamed operation must be idempotent."
    )
    val table = TableSpec(
        name = "stop",
        shape = TableShape.SINGLE,
        doc = "How an upstream of the service may be stopped.",
        keys = persistentListOf(drainTimeout, resumable)
    )
}

/** Keys of each table `[[operations]]`. */
internal object OperationKeys {
    private val defaults = Operation(name = "", method = "", path = "", idempotent = false)

    val name = KeySpec(
        name = "name",
        rule = name { it },
        doc = "Name of the operation in logs and metrics. Unique in the service."
    )
    val method = KeySpec(
        name = "method",
        rule = choice(
            listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE").associateWith { it }
        ),
        doc = "HTTP method."
    )
    val path = KeySpec(
        name = "path",
        rule = httpPath(),
        doc = "Path that the operation serves: exact, or a prefix when it ends in `*`. The first " +
            "operation that matches wins, so a prefix stands after the paths that it covers."
    )
    val idempotent = KeySpec(
        name = "idempotent",
        rule = flag(),
        doc = "Whether running the request twice does no harm. There is no default: a wrong " +
            "guess could run an order twice. Only idempotent requests are tried again."
    )
    val streamed = KeySpec(
        name = "streamed",
        rule = flag(),
        default = defaults.streamed,
        doc = "Whether the answer is a stream of server-sent events."
    )
    val priority = KeySpec(
        name = "priority",
        rule = choice<Priority>(),
        default = defaults.priority,
        doc = "How urgent the request is; `order` goes first, `background` last."
    )
    val deadline = KeySpec(
        name = "deadline_seconds",
        rule = seconds(1..HOUR_SECONDS),
        default = defaults.deadline,
        doc = "Time after which the request is given up and gets its final answer."
    )
    val table = TableSpec(
        name = "operations",
        shape = TableShape.REPEATED,
        doc = "One kind of request that the service answers; a request that matches none is " +
            "refused.",
        keys = persistentListOf(name, method, path, idempotent, streamed, priority, deadline)
    )
}

/** Keys of the table `[rank_group]`. */
internal object RankGroupKeys {
    val ranks = KeySpec(
        name = "ranks",
        rule = wholeNumber(1..1_024, unit = "ranks"),
        doc = "Ranks in one group; all advance in lock-step."
    )
    val layers = KeySpec(
        name = "layers",
        rule = wholeNumber(1..1_024, unit = "layers"),
        doc = "Layers that have experts."
    )
    val expertsPerLayer = KeySpec(
        name = "experts_per_layer",
        rule = wholeNumber(1..65_536, unit = "experts"),
        doc = "Experts in each layer."
    )
    val slotsPerRank = KeySpec(
        name = "slots_per_rank",
        rule = wholeNumber(1..65_536, unit = "slots"),
        doc = "Expert slots per rank and layer, spare ones for replicas included. The slots of " +
            "all ranks together hold at least every expert of a layer once."
    )
    val table = TableSpec(
        name = "rank_group",
        shape = TableShape.OPTIONAL,
        doc = "Size of the rank groups that serve a model. Only for `model`.",
        keys = persistentListOf(ranks, layers, expertsPerLayer, slotsPerRank)
    )
}

/** A service file: one service, kept beside its code. */
internal val serviceFileSpec = FileSpec(
    title = "service file",
    tables = persistentListOf(
        ServiceKeys.table,
        LimitsKeys.table,
        StopKeys.table,
        OperationKeys.table,
        RankGroupKeys.table
    )
)
