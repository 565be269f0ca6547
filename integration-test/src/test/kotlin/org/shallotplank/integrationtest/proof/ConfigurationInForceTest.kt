package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.shallotplank.config.Reading
import org.shallotplank.config.readConfigurationFiles
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.config.Configuration
import org.shallotplank.integrationtest.PlatformFaults
import org.shallotplank.integrationtest.cluster.EntryNode
import org.shallotplank.integrationtest.proof.CallOutcome.Answered
import org.shallotplank.integrationtest.proxy.ProxyFault
import org.shallotplank.runtime.configuration.Publication
import org.shallotplank.runtime.configuration.Publisher
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.runtime.platform.httpPlatform

/**
 * An accepted configuration is in force at every entry and agent within [IN_FORCE_TIME], and no
 * process ever goes back to an older version.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationInForceTest {
    private val system = ProofSystem("ConfigurationInForceTest", plainServices = 2)
    private val platform = system.cluster.platform

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    @AfterEach
    fun heal() {
        platform.inject(PlatformFaults(outage = false, slowMillis = 0, loseAnswers = 0))
        system.entries.forEach { it.platformLink.heal() }
    }

    private fun configuration(): Configuration = assertIs<Reading.Accepted<Configuration>>(
        readConfigurationFiles(listOf(system.directory))
    ).value

    private suspend fun publishAs(operator: String): Publication =
        Publisher(httpPlatform(platform.address), operator).publish(configuration())

    /** Ports to the platform that lose the answer to each table write but not to object writes. */
    private fun losingAnswers(): PlatformPorts {
        val ports = httpPlatform(platform.address)
        return PlatformPorts(
            readItem = ports.readItem,
            writeItem = {
                platform.inject(PlatformFaults(loseAnswers = 1))
                ports.writeItem(it)
            },
            readObject = ports.readObject,
            writeObject = ports.writeObject,
            listInstances = ports.listInstances
        )
    }

    private suspend fun versionAt(adminUrl: String): ConfigurationVersion =
        system.versionAt(adminUrl)

    private fun adminUrls(): List<String> =
        (system.entries.map { it.process } + system.upstreams.map { it.process })
            .map { it.adminUrl }

    private suspend fun awaitInForce(version: ConfigurationVersion): Unit =
        awaitUntil("all processes use version $version or newer", IN_FORCE_TIME) {
            adminUrls().all { versionAt(it) >= version }
        }

    @Test
    fun `is from one of two concurrent operators and supersedes the other`(): Unit = runBlocking {
        platform.inject(PlatformFaults(slowMillis = SLOW_MILLIS))
        val publications = List(2) { async { publishAs("racing-$it") } }.awaitAll()
        platform.inject(PlatformFaults(slowMillis = 0))
        val accepted = assertIs<Publication.Accepted>(
            publications.single { it is Publication.Accepted },
            "$publications"
        )
        assertEquals(1, publications.count { it is Publication.Superseded }, "$publications")
        awaitInForce(accepted.version)
    }

    @Test
    fun `is reported as accepted even if the answer to its write is lost`(): Unit = runBlocking {
        val publisher = Publisher(losingAnswers(), "unheard")
        val accepted = assertIs<Publication.Accepted>(publisher.publish(configuration()))
        awaitInForce(accepted.version)
    }

    @Test
    fun `reaches an entry that is cut off from the platform`(): Unit = runBlocking {
        val link = system.entries[0].platformLink
        link.inject(ProxyFault.RefuseConnections)
        link.inject(ProxyFault.ResetConnections)
        awaitInForce(assertIs<Publication.Accepted>(publishAs("partition")).version)
    }

    @Test
    fun `version never decreases at any process`(): Unit = runBlocking {
        val urls = adminUrls()
        var seen = urls.map { versionAt(it) }
        repeat(PUBLICATIONS) {
            publishAs("monotonic-$it")
            repeat(READS) {
                val now = urls.map { url -> versionAt(url) }
                assertTrue(now.zip(seen).all { (later, earlier) -> later >= earlier })
                seen = now
                delay(READ_INTERVAL)
            }
        }
    }

    @Test
    fun `is loaded before an entry restarted in an outage serves requests`(): Unit = runBlocking {
        val accepted = assertIs<Publication.Accepted>(publishAs("before the outage")).version
        awaitInForce(accepted)
        platform.inject(PlatformFaults(outage = true))
        val entry = system.entries[1]
        entry.process.kill()
        entry.start()
        repeat(READS) {
            assertServesOnly(accepted, entry)
            delay(READ_INTERVAL)
        }
        platform.inject(PlatformFaults(outage = false))
        awaitUntil("the restarted entry answers lookups") { system.lookUp(entry = 1) is Answered }
        assertServesOnly(accepted, entry)
    }

    private suspend fun assertServesOnly(version: ConfigurationVersion, entry: EntryNode) {
        if (system.lookUp(entry = 1) !is Answered) return
        assertEquals(version, versionAt(entry.process.adminUrl))
    }

    private companion object {
        const val SLOW_MILLIS = 200L
        const val PUBLICATIONS = 3
        const val READS = 10
        val READ_INTERVAL = 0.2.seconds
    }
}
