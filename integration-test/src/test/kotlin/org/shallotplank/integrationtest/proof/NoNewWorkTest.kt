package org.shallotplank.integrationtest.proof

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.integrationtest.EngineSettings
import org.shallotplank.integrationtest.PlatformFaults
import org.shallotplank.integrationtest.cluster.UpstreamKind
import org.shallotplank.integrationtest.cluster.UpstreamNode
import org.shallotplank.integrationtest.proxy.ProxyFault

/** A zone out of service or a leaving upstream gets no new requests after [A_FEW_SECONDS]. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class NoNewWorkTest {
    private val system = ProofSystem(
        "NoNewWorkTest",
        engines = 3,
        engine = UpstreamKind.Engine(EngineSettings(startWarm = true))
    )
    private val platform = system.cluster.platform

    /** Runs in the zone that is taken out of service, as does the second entry. */
    private val leaving = system.upstreams[1]
    private val zone = leaving.settings.zone.value

    @BeforeAll
    fun start(): Unit = runBlocking { system.start() }

    @AfterAll
    fun close(): Unit = system.close()

    private suspend fun started(upstream: UpstreamNode): Int = system.startedAt(listOf(upstream))

    private suspend fun assertNoNewWork() {
        delay(A_FEW_SECONDS)
        val before = started(leaving)
        delay(OBSERVED)
        assertEquals(before, started(leaving), "requests started at ${leaving.instance.id}")
    }

    private suspend fun awaitNewWork() {
        val before = started(leaving)
        awaitUntil("${leaving.instance.id} gets new requests") { started(leaving) > before }
    }

    private fun proveZone(
        beforePublish: suspend () -> Unit = {},
        afterPublish: suspend () -> Unit = {},
        heal: suspend () -> Unit = {}
    ): Unit = runBlocking {
        system.underLoad {
            awaitNewWork()
            beforePublish()
            system.editZone(zone, isInService = false)
            assertEquals(0, system.publish().exitStatus)
            afterPublish()
            assertNoNewWork()
            heal()
            system.editZone(zone, isInService = true)
            assertEquals(0, system.publish(waitFor = system.entries).exitStatus)
            awaitNewWork()
        }
    }

    @Nested
    inner class ZoneOutOfService {
        @Test
        fun `without faults`(): Unit = proveZone()

        @Test
        fun `while the platform is down after one entry has read the publication`() {
            val seeing = system.entries.first().process.adminUrl
            var before = ConfigurationVersion.None
            proveZone(
                beforePublish = { before = system.versionAt(seeing) },
                afterPublish = {
                    awaitUntil("an entry uses the new version") {
                        system.versionAt(seeing) > before
                    }
                    platform.inject(PlatformFaults(outage = true))
                },
                heal = { platform.inject(PlatformFaults(outage = false)) }
            )
        }

        @Test
        fun `while an entry is cut off from the platform`() {
            val link = system.entries[1].platformLink
            proveZone(
                beforePublish = {
                    link.inject(ProxyFault.RefuseConnections)
                    link.inject(ProxyFault.ResetConnections)
                },
                heal = { link.heal() }
            )
        }

        @Test
        fun `while an entry is suspended`() {
            val process = system.entries[1].process
            proveZone(
                beforePublish = { process.pause() },
                afterPublish = {
                    delay(A_FEW_SECONDS)
                    process.resume()
                }
            )
        }
    }

    @Nested
    inner class LeavingUpstream {
        @Test
        fun `finishes its in-flight requests and gets no new ones`(): Unit = runBlocking {
            val streams = async { system.quotesUntilAccepted(STREAMS, "leaving") }
            system.underLoad {
                awaitNewWork()
                system.cluster.announceLeaving(leaving.instance)
                assertNoNewWork()
                platform.register(leaving.instance)
                awaitNewWork()
            }
            assertEquals(setOf<StreamOutcome>(StreamOutcome.Whole), streams.await().toSet())
        }
    }

    private companion object {
        const val STREAMS = 12
        val OBSERVED = 2.seconds
    }
}
