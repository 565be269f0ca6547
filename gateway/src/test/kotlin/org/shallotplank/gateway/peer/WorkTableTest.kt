package org.shallotplank.gateway.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.work.LengthMoments
import org.shallotplank.core.work.ReportedWork
import org.shallotplank.core.work.UpstreamWork
import org.shallotplank.gateway.store.StoreRow

class WorkTableTest {
    private var now = Instant.fromEpochSeconds(1_000)
    private val clock = object : Clock {
        override fun now() = now
    }
    private val learned = mutableListOf<GatewayEvent.WorkLearned>()
    private val lines = mutableListOf<LogRecord>()
    private val service = ServiceName("s")
    private val upstream = UpstreamKey(InstanceId("u"), 3)

    private fun table(own: String, work: () -> ReportedWork?) =
        workTable(InstanceId(own), clock, work, learned::add, lines::add)

    private fun lengths(observed: Int) = ReportedWork(
        now,
        lengths = persistentMapOf(service to LengthMoments(9.5, 800.0, 90_000.0, observed.toLong()))
    )

    private fun busy() = ReportedWork(
        now - 100.milliseconds,
        upstreams = persistentMapOf(upstream to UpstreamWork(2, 120.milliseconds, 1_500.0))
    )

    private fun transfer(from: PeerTable, to: PeerTable) =
        to.learn(from.rows().map { StoreRow(it.key, it.value, it.version) })

    @Test
    fun `an entry learns the lengths and the work of another one, with their age`() {
        val work = busy().copy(lengths = lengths(observed = 12).lengths)
        transfer(table("a") { work }, table("b") { null })
        val report = learned.single()
        assertEquals(InstanceId("a"), report.entry)
        assertEquals(work.lengths, report.work.lengths)
        assertEquals(work.upstreams, report.work.upstreams)
        assertEquals(100.milliseconds, now - report.work.reportedAt)
    }

    /** Guards against work that is counted twice when reports come back through a hub. */
    @Test
    fun `an entry does not learn its own work`() {
        transfer(table("a") { busy() }, table("a") { busy() })
        assertEquals(emptyList(), learned)
    }

    /** Guards against tables that are fetched all the time where work is not in effect. */
    @Test
    fun `lengths alone change the version each time that their number doubles`() {
        var observed = 0
        val table = table("a") { lengths(observed) }
        assertNull(table.version())
        val versions = (1..1_000).mapNotNull {
            observed = it
            table.version()
        }
        assertEquals(7, versions.distinct().size)
    }

    @Test
    fun `work that is left changes the version again after a while`() {
        val table = table("a") { busy() }
        val first = table.version()
        assertEquals(first, table.version())
        now += 1.seconds
        assertNotEquals(first, table.version())
    }

    @Test
    fun `a row that cannot be read is logged and skipped`() {
        table("b") { null }.learn(listOf(StoreRow("a", "{\"entry\":7", version = 0)))
        assertEquals(emptyList(), learned)
        assertEquals(1, lines.size)
    }
}
