package org.shallotplank.integrationtest.cluster

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceState
import org.shallotplank.integrationtest.HttpCaller
import org.shallotplank.integrationtest.InstanceList
import org.shallotplank.integrationtest.proxy.ProxyFault

class LoopbackClusterTest {
    private val cluster = LoopbackCluster("LoopbackClusterTest")
    private val caller = HttpCaller()

    @AfterTest
    fun close(): Unit = cluster.close()

    private suspend fun listed(): List<Instance> =
        caller.get<InstanceList>("${cluster.platform.url}/instances").instances

    private suspend fun isReady(address: Address): Boolean =
        caller.call("GET", "http://$address/readyz").status == 200

    @Nested
    inner class Instances {
        @Test
        fun `are listed in all zones with the addresses of their proxies`(): Unit = runBlocking {
            val byId = listed().associateBy { it.id }
            assertEquals(10, byId.size)
            val expected = cluster.upstreams.associate { it.instance.id to it.agentLink.address }
            assertEquals(expected, expected.keys.associateWith { byId.getValue(it).address })
            assertEquals(3, byId.values.map { it.zone }.distinct().size)
        }

        @Test
        fun `are listed as leaving once announced`(): Unit = runBlocking {
            val leaving = cluster.upstreams.first().instance
            cluster.announceLeaving(leaving)
            val found = listed().single { it.id == leaving.id }
            assertEquals(InstanceState.LEAVING, found.state)
        }
    }

    @Nested
    inner class Links {
        @Test
        fun `connect the configured addresses with the stand-ins`(): Unit = runBlocking {
            cluster.entries.forEach { assertEquals(true, isReady(it.settings.platformAddress)) }
            cluster.upstreams.forEach { assertEquals(true, isReady(it.settings.upstreamAddress)) }
        }

        @Test
        fun `fail independently`(): Unit = runBlocking {
            val (failing, healthy) = cluster.entries
            failing.platformLink.inject(ProxyFault.RefuseConnections)
            assertFails { isReady(failing.settings.platformAddress) }
            assertEquals(true, isReady(healthy.settings.platformAddress))
        }
    }
}
