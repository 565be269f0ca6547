package org.shallotplank.integrationtest.harness

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings
import org.shallotplank.config.Reading
import org.shallotplank.config.SourceFile
import org.shallotplank.config.readAgentSettings
import org.shallotplank.config.readEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

class SettingsTomlTest {
    private fun address(port: Int) = Address("127.0.0.1", port)

    @Nested
    inner class WrittenSettings {
        @Test
        fun `of an entry are read back unchanged`() {
            val settings = EntrySettings(
                instanceId = InstanceId("entry-1"),
                zone = ZoneName("khomas-a"),
                region = "windhoek",
                listenAddress = address(1001),
                peerAddress = address(1002),
                adminAddress = address(1003),
                platformAddress = address(1004),
                clusterKeyFile = "/run/cluster.key",
                maxHeaderCount = 32
            )
            val source = SourceFile("entry.toml", settings.toToml())
            assertEquals(Reading.Accepted(settings), readEntrySettings(source))
        }

        @Test
        fun `of an agent are read back unchanged`() {
            val settings = AgentSettings(
                instanceId = InstanceId("engine-1"),
                service = ServiceName("draft-model"),
                zone = ZoneName("khomas-a"),
                region = "windhoek",
                listenAddress = address(1001),
                adminAddress = address(1002),
                upstreamAddress = address(1003),
                platformAddress = address(1004),
                clusterKeyFile = "/run/cluster.key"
            )
            val source = SourceFile("agent.toml", settings.toToml())
            assertEquals(Reading.Accepted(settings), readAgentSettings(source))
        }
    }
}
