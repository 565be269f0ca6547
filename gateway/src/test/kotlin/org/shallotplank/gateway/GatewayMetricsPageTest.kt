package org.shallotplank.gateway

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Nested
import org.shallotplank.core.log.LogEvent
import org.shallotplank.gateway.budget.ShedCause

class GatewayMetricsPageTest {
    @Nested
    inner class Page {
        @Test
        fun `lists each metric as Prometheus gets it`() {
            val listed = Path.of("../docs/gateway-metrics.md").readLines()
                .filter { it.startsWith("| `") }
                .map { row -> row.split('|').map { it.trim() }.let { it[1] to it[3] } }
            val exposed = GatewayMetric.entries.map { "`${families.getValue(it)}`" to it.summary }
            assertEquals(exposed, listed)
        }
    }

    /** Name of each metric as the text format has it. */
    private val families: Map<GatewayMetric, String> by lazy {
        val metrics = GatewayMetrics()
        metrics.countEvent(LogEvent.PROCESS_STARTED)
        metrics.ended(RequestOutcome.ANSWERED, 5.milliseconds)
        metrics.countPeerCall("/peer/report")
        metrics.countShed(ShedCause.MEMORY)
        val recorded = setOf(
            GatewayMetric.REQUESTS,
            GatewayMetric.LOG_EVENTS,
            GatewayMetric.PEER_CALLS,
            GatewayMetric.SHED
        )
        (GatewayMetric.entries - recorded).forEach { metrics.gauge(it) { 1 } }
        val names = metrics.scrape().lines().filter { it.startsWith("# TYPE ") }
            .map { it.split(' ')[2] }
        GatewayMetric.entries.associateWith { metric ->
            val stem = metric.meter.replace('.', '_')
            names.first { it.removePrefix(stem) in setOf("", "_seconds", "_total") }
        }
    }
}
