package org.shallotplank.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

private val entryText = """
    instance_id = "entry-1"
    zone = "khomas-a"
    region = "windhoek"
    listen_address = "0.0.0.0:8080"
    peer_address = "10.0.0.1:8081"
    admin_address = "[::1]:8082"
    platform_address = "10.0.0.9:9000"
    cluster_key_file = "/run/shallotplank/cluster.key"
""".trimIndent()

private val agentText = """
    instance_id = "engine-1"
    service = "draft-model"
    zone = "khomas-a"
    region = "windhoek"
    listen_address = "10.0.0.2:8081"
    admin_address = "127.0.0.1:8082"
    upstream_address = "127.0.0.1:8000"
    platform_address = "10.0.0.9:9000"
    cluster_key_file = "/run/shallotplank/cluster.key"
""".trimIndent()

private fun entryFindings(text: String): List<String> =
    assertIs<Reading.Rejected>(readEntrySettings(SourceFile("entry.toml", text)))
        .findings.map { it.toString() }

class SettingsReaderTest {
    @Nested
    inner class AcceptedSettings {
        @Test
        fun `of an entry take the constructor's defaults`() {
            val expected = EntrySettings(
                instanceId = InstanceId("entry-1"),
                zone = ZoneName("khomas-a"),
                region = "windhoek",
                listenAddress = Address("0.0.0.0", 8080),
                peerAddress = Address("10.0.0.1", 8081),
                adminAddress = Address("::1", 8082),
                platformAddress = Address("10.0.0.9", 9000),
                clusterKeyFile = "/run/shallotplank/cluster.key"
            )
            val reading = readEntrySettings(SourceFile("entry.toml", entryText))
            assertEquals(Reading.Accepted(expected), reading)
        }

        @Test
        fun `of an agent take the constructor's defaults`() {
            val expected = AgentSettings(
                instanceId = InstanceId("engine-1"),
                service = ServiceName("draft-model"),
                zone = ZoneName("khomas-a"),
                region = "windhoek",
                listenAddress = Address("10.0.0.2", 8081),
                adminAddress = Address("127.0.0.1", 8082),
                upstreamAddress = Address("127.0.0.1", 8000),
                platformAddress = Address("10.0.0.9", 9000),
                clusterKeyFile = "/run/shallotplank/cluster.key"
            )
            val reading = readAgentSettings(SourceFile("agent.toml", agentText))
            assertEquals(Reading.Accepted(expected), reading)
        }
    }

    @Nested
    inner class RejectedSettings {
        @Test
        fun `report host names, malformed numbers and wildcards instead of addresses`() {
            val wrong = listOf("localhost:80", "10.0.0.256:80", "10.0.0.1:0", "10.0.0.1", "::1:80")
            for (address in wrong) {
                val text = entryText.replace("10.0.0.1:8081", address)
                assertEquals(
                    listOf(
                        "entry.toml:5: peer_address: expected an IP number and port such as " +
                            "10.0.0.1:8080 or [fd00::1]:8080, found \"$address\""
                    ),
                    entryFindings(text)
                )
            }
            val wildcard = entryText.replace("10.0.0.9:9000", "0.0.0.0:9000")
            assertEquals(1, entryFindings(wildcard).count { "one machine" in it })
        }

        @Test
        fun `report two keys with the same address`() {
            assertEquals(
                listOf(
                    "entry.toml:6: admin_address: expected an address that no other key has, " +
                        "found the address of peer_address"
                ),
                entryFindings(entryText.replace("[::1]:8082", "10.0.0.1:8081"))
            )
        }

        @Test
        fun `never print a cluster key given instead of its file path`() {
            val text = entryText.replace("/run/shallotplank/cluster.key", "86753092024")
            val finding = entryFindings(text).single()
            assertTrue(finding.startsWith("entry.toml:8: cluster_key_file: "), finding)
            assertFalse("8675309" in finding, finding)
        }

        @Test
        fun `list every fault at once`() {
            val text = "instance_id = 1\nlog_level = \"loud\"\nmax_body_byte = 1\n"
            val expected = listOf(
                "admin_address",
                "cluster_key_file",
                "instance_id",
                "listen_address",
                "log_level",
                "max_body_byte",
                "peer_address",
                "platform_address",
                "region",
                "zone"
            )
            assertEquals(expected, entryFindings(text).map { it.split(": ")[1] }.sorted())
        }
    }
}
