package org.shallotplank.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Nested

private val gatewayText = """
    instance_id = "gateway-1"
    zone = "khomas-a"
    listen_address = "10.0.0.1:8080"
    readiness_address = "10.0.0.1:8081"
    directory_address = "10.0.0.1:8082"
    peer_address = "10.0.0.1:8083"
    store_address = "10.0.0.9:9000"
    metrics_port = 9464
    max_connections = 2048
    stop_grace_seconds = 8
    entry_list_ttl_seconds = 5
    retry_ratio = 0.2
    retry_window_seconds = 10
    retry_slack = 92
""".trimIndent()

private fun read(text: String) = readGatewayEntrySettings(SourceFile("gateway.toml", text))

class GatewaySettingsTest {
    // Guards against an entry that exits at its start because a bound is not a whole number.
    @Nested
    inner class FractionsInBounds {
        private fun withFractions() = gatewayText
            .replace("retry_slack = 92", "retry_slack = 66.89655172413794")
            .replace("max_connections = 2048", "max_connections = 1494.5")
            .replace("stop_grace_seconds = 8", "stop_grace_seconds = 7.5")
            .replace("entry_list_ttl_seconds = 5", "entry_list_ttl_seconds = 2.5")
            .replace("retry_window_seconds = 10", "retry_window_seconds = 8.25")

        @Test
        fun `are accepted, and counts are rounded down`() {
            val settings = assertIs<Reading.Accepted<GatewayEntrySettings>>(read(withFractions()))
                .value
            assertEquals(66, settings.retrySlack)
            assertEquals(1494, settings.maxConnections)
            assertEquals(7_500.milliseconds, settings.stopGrace)
            assertEquals(2_500.milliseconds, settings.entryListTtl)
            assertEquals(8_250.milliseconds, settings.retryWindow)
        }

        @Test
        fun `are rejected where they are no numbers or out of range`() {
            for (wrong in listOf("nan", "-0.5", "1e9", "inf", "\"92\"")) {
                val text = gatewayText.replace("retry_slack = 92", "retry_slack = $wrong")
                val findings = assertIs<Reading.Rejected>(read(text)).findings
                assertEquals("gateway.toml:14", findings.single().toString().substringBefore(": "))
            }
        }
    }
}
