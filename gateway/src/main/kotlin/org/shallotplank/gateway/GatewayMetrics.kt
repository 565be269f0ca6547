package org.shallotplank.gateway

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import org.shallotplank.core.log.LogEvent
import org.shallotplank.gateway.budget.ShedCause

/** The metrics of one gateway entry, as `docs/metrics.md` lists them. */
public class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val eventCounters = arrayOfNulls<Counter>(LogEvent.entries.size)
    private val timers = HashMap<RequestOutcome, Timer>()

    /** Counts a log event, whether or not its line is written. */
    public fun countEvent(event: LogEvent) {
        val counter = eventCounters[event.ordinal] ?: registry.counter(
            GatewayMetric.LOG_EVENTS.meter,
            "event",
            event.number.toString()
        ).also { eventCounters[event.ordinal] = it }
        counter.increment()
    }

    /** Counts a call to the peer interface of another entry. */
    public fun countPeerCall(path: String) {
        registry.counter(GatewayMetric.PEER_CALLS.meter, "path", path).increment()
    }

    /** Records the end of a request that took [duration]. */
    public fun ended(outcome: RequestOutcome, duration: Duration) {
        timers.getOrPut(outcome) {
            Timer.builder(GatewayMetric.REQUESTS.meter)
                .tags("outcome", outcome.name.lowercase())
                .serviceLevelObjectives(*latencyBounds)
                .register(registry)
        }.record(duration.toJavaDuration())
    }

    /** Counts a connection that was closed or refused to bound what callers hold. */
    public fun countShed(cause: ShedCause) {
        registry.counter(GatewayMetric.SHED.meter, "cause", cause.name.lowercase()).increment()
    }

    /** Registers [metric] as a gauge that calls [value] at each scrape. */
    public fun gauge(metric: GatewayMetric, value: () -> Number) {
        registry.gauge(metric.meter, this) { value().toDouble() }
    }

    /** All metrics in the text format of Prometheus. */
    public fun scrape(): String = registry.scrape()

    private companion object {
        /** Bounds of the latency histogram; few, since each is a line of each scrape. */
        val latencyBounds = listOf(10L, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
            .map { java.time.Duration.ofMillis(it) }
            .toTypedArray()
    }
}

/** How a request ended. */
public enum class RequestOutcome { ANSWERED, REFUSED, REJECTED, FAILED, CUT, CALLER_LEFT }

/** The catalogue of the gateway's metrics. */
public enum class GatewayMetric(
    internal val meter: String,
    /** What the metric shows. */
    public val summary: String
) {
    REQUESTS("shallotplank.gateway.requests", "Time from a request's arrival to its end"),
    LOG_EVENTS("shallotplank.gateway.log.events", "Log events by number"),
    IN_FLIGHT("shallotplank.gateway.requests.in.flight", "Requests taken and not ended"),
    CALLER_CONNECTIONS("shallotplank.gateway.caller.connections", "Open connections of callers"),
    SHED(
        "shallotplank.gateway.callers.shed",
        "Connections closed or refused to bound what callers hold"
    ),
    HELD_BYTES("shallotplank.gateway.held.bytes", "Memory held for callers, estimated"),
    MESSAGE_BYTES(
        "shallotplank.gateway.message.bytes",
        "Memory held for messages of the store, engines and other entries"
    ),
    UPSTREAM_CONNECTIONS(
        "shallotplank.gateway.upstream.connections",
        "Open connections to upstreams"
    ),
    UPSTREAMS("shallotplank.gateway.upstreams", "Upstreams listed"),
    CONFIGURATION_VERSION(
        "shallotplank.gateway.configuration.version",
        "Configuration version in force"
    ),
    STORE_AGE("shallotplank.gateway.store.age.seconds", "Time since the store last answered"),
    PEER_CALLS("shallotplank.gateway.peer.calls", "Calls to other entries by path"),
    PEER_REPORT_AGE(
        "shallotplank.gateway.peer.report.age.seconds",
        "Age of the oldest report of an entry that counts as alive"
    ),
    HUB("shallotplank.gateway.hub", "1 while the entry is a hub, else 0"),
    ESTIMATE_FACTOR(
        "shallotplank.gateway.work.estimate.factor",
        "Typical factor between expected and actual tokens of answers; 1 is exact"
    ),
    ESTIMATE_BIAS(
        "shallotplank.gateway.work.estimate.bias",
        "Actual over expected tokens of answers; above 1, estimates are too low"
    ),
    SERVICES_BY_WORK(
        "shallotplank.gateway.work.services",
        "Services whose upstreams are chosen by expected work"
    ),
    READY("shallotplank.gateway.ready", "1 while the entry is ready, else 0")
}
