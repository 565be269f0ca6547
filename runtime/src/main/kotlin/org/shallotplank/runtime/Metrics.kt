package org.shallotplank.runtime

import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import org.shallotplank.core.call.RunState
import org.shallotplank.core.log.LogRecord

/** Metrics of one process; `docs/metrics.md` lists them. */
internal class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Counts a log event by its number. */
    fun countEvent(record: LogRecord): Unit = registry.counter(
        MetricName.LOG_EVENTS.meter,
        "event",
        record.event.number.toString()
    ).increment()

    /** Records a request that was answered completely. */
    fun answered(status: Int, duration: Duration): Unit = record("answered", status, duration)

    /** Records a request that was refused. */
    fun refused(runState: RunState, status: Int, duration: Duration): Unit =
        record(runState.name.lowercase(), status, duration)

    /** Records a request that was rejected because of an error of the caller. */
    fun rejected(status: Int, duration: Duration): Unit = record("rejected", status, duration)

    /** Registers a gauge that reads [value] at each scrape. */
    fun gauge(name: MetricName, value: () -> Number) {
        registry.gauge(name.meter, this) { value().toDouble() }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun record(outcome: String, status: Int, duration: Duration): Unit =
        Timer.builder(MetricName.REQUESTS.meter)
            .tags("outcome", outcome, "status", status.toString())
            .publishPercentileHistogram()
            .register(registry)
            .record(duration.toJavaDuration())
}

/** Catalogue of the metrics that [Metrics] records. */
public enum class MetricName(
    internal val meter: String,
    /** Describes what the metric shows. */
    public val summary: String
) {
    REQUESTS("shallotplank.requests", "Time from a request's arrival to the end of its answer"),
    LOG_EVENTS("shallotplank.log.events", "Log events by number"),
    IN_FLIGHT("shallotplank.requests.in.flight", "Requests taken and not ended"),
    CONFIGURATION_VERSION("shallotplank.configuration.version", "Configuration version in force"),
    UPSTREAM_CONCURRENCY("shallotplank.upstream.concurrency", "Requests the upstream may run"),
    UPSTREAM_RUNNING("shallotplank.upstream.running", "Requests the upstream runs"),
    UPSTREAM_QUEUED("shallotplank.upstream.queued", "Requests that wait for the upstream"),
    CONNECTED_AGENTS("shallotplank.agents.connected", "Agents that the entry is connected to")
}
