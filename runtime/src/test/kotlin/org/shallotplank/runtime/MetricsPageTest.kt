package org.shallotplank.runtime

import kotlin.test.Test
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Nested
import org.shallotplank.core.call.RunState
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord

class MetricsPageTest {
    private val families = scrapedFamilies()

    @Nested
    inner class Page {
        @Test
        fun `lists each metric as Prometheus gets it`() =
            DocumentationPage("metrics.md").assertTable(
                MetricName.entries.map { metric ->
                    val family = families.getValue(metric)
                    val tags = family.tags.joinToString(", ") { "`$it`" }
                    listOf("`${family.name}`", family.type, family.unit, tags, metric.summary)
                }
            )
    }
}

/** A metric in the Prometheus text format. */
private data class MetricFamily(val name: String, val type: String, val tags: Set<String>) {
    val unit: String get() = if (name.endsWith("_seconds")) "seconds" else "count"
}

private fun scrapedFamilies(): Map<MetricName, MetricFamily> {
    val metrics = Metrics()
    metrics.answered(status = 200, duration = 5.milliseconds)
    metrics.refused(RunState.NOT_RUN, status = 503, duration = 1.milliseconds)
    metrics.countEvent(logRecord(LogEvent.PROCESS_STARTED))
    val recorded = setOf(MetricName.REQUESTS, MetricName.LOG_EVENTS)
    (MetricName.entries - recorded).forEach { metrics.gauge(it) { 1 } }
    val lines = metrics.scrape().lines()
    return MetricName.entries.associateWith { metric ->
        val stem = metric.meter.replace('.', '_')
        val header = lines.first { it.matches(Regex("# TYPE $stem(_seconds|_total)? .*")) }
        val (name, type) = header.removePrefix("# TYPE ").split(' ')
        val samples = lines.filter { it.startsWith("$name{") || it.startsWith("${name}_count{") }
        val tags = samples.flatMap { sample -> TAG.findAll(sample).map { it.groupValues[1] } }
        MetricFamily(name, type, tags.toSet())
    }
}

private val TAG = Regex("""(\w+)="""")
