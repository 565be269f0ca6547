package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.gateway.peer.waitingTable
import org.shallotplank.gateway.store.StoreRow

/** Guards against entries that read each other's waiting requests differently. */
class WaitingTableTest {
    private val service = ServiceName("model")
    private var waiting = mapOf(service to mapOf(0 to 3, 2 to 1))
    private val learned = mutableListOf<GatewayEvent.WaitingLearned>()
    private val table = waitingTable(
        own = InstanceId("e"),
        clock = SteadyClock(),
        waiting = { waiting },
        onLearned = { learned += it },
        log = { error("unexpected line: $it") }
    )

    private fun learnedCounts() = learned.last().waiting.getValue(service).byPriority

    @Test
    fun `is read by other entries as it was offered, also when nothing waits any more`() {
        table.learn(table.rows().map { StoreRow(it.key, it.value, it.version) })
        assertEquals(InstanceId("e"), learned.single().entry)
        assertEquals(persistentMapOf(0 to 3, 2 to 1), learnedCounts())

        waiting = mapOf(service to emptyMap())
        table.learn(table.rows().map { StoreRow(it.key, it.value, it.version) })
        assertEquals(persistentMapOf(), learnedCounts())
    }

    @Test
    fun `is read although a later build added a field`() {
        val value = """{"entry":"f","service":"model","byPriority":{"1":2},"ageMillis":9,"x":1}"""
        table.learn(listOf(StoreRow("f/model", value, 0)))
        assertEquals(InstanceId("f"), learned.single().entry)
        assertEquals(persistentMapOf(1 to 2), learnedCounts())
    }

    @Test
    fun `has another version when the numbers change`() {
        val first = table.version()
        assertEquals(first, table.version())
        waiting = mapOf(service to mapOf(0 to 2))
        assertNotEquals(first, table.version())
    }

    @Test
    fun `is not offered where all requests have one priority`() {
        waiting = emptyMap()
        assertEquals(null, table.version())
    }
}
