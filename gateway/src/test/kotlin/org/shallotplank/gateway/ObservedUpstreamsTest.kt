package org.shallotplank.gateway

import arrow.core.left
import arrow.core.right
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableReplica

class ObservedUpstreamsTest {
    private val logged = mutableListOf<LogRecord>()
    private val replica = TableReplica()
    private val observed = ObservedUpstreams(
        read = { row ->
            if (row.value == "bad") "bad".left() else record(row.key, row.value).right()
        },
        returnGrace = 2.seconds,
        log = { logged += it }
    )
    private val start = Instant.fromEpochMilliseconds(100_000)
    private var version = 0L
    private var era = 1L

    @Nested
    inner class RowsThatVanish {
        @Test
        fun `are removed at once without an outage of the store`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = Instant.DISTANT_PAST, now = start + 1.seconds)
            assertEquals(listOf("a"), ids())
        }

        @Test
        fun `are kept until the grace after the return of the store has passed`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = start + 10.seconds, now = start + 10.seconds)
            assertEquals(listOf("a", "b"), ids())
            observed.expire(start + 12.seconds)
            assertEquals(listOf("a"), ids())
        }

        @Test
        fun `late in the grace are removed when it ends`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            val returnedAt = start + 10.seconds
            show(listOf("a"), returnedAt, now = returnedAt + 1900.milliseconds)
            observed.expire(returnedAt + 2.seconds)
            assertEquals(listOf("a"), ids())
        }

        @Test
        fun `are listed again when they register again`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = start + 10.seconds, now = start + 10.seconds)
            show(listOf("a", "b"), returnedAt = start + 10.seconds, now = start + 11.seconds)
            observed.expire(start + 13.seconds)
            assertEquals(listOf("a", "b"), ids())
        }
    }

    /** Guards against requests to upstreams that had left before the store was restored. */
    @Nested
    inner class RowsOfARestoredStore {
        private val returnedAt = start + 10.seconds

        private fun restore(vararg rows: Pair<String, String>) {
            era++
            show(mapOf(*rows), returnedAt, returnedAt)
        }

        @Test
        fun `do not bring back upstreams that had left`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = Instant.DISTANT_PAST, now = start + 1.seconds)
            restore("a" to "good", "b" to "good")
            assertEquals(listOf("a"), ids())
        }

        @Test
        fun `do not make an upstream ready that was leaving`() {
            val rows = mapOf("a" to "leaving", "b" to "good")
            show(rows, returnedAt = Instant.DISTANT_PAST, now = start)
            restore("a" to "good", "b" to "good")
            assertEquals(listOf("a", "b"), ids())
            assertEquals(listOf("a"), leaving())
        }

        @Test
        fun `list an upstream that had been missing once its row has stayed`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = Instant.DISTANT_PAST, now = start + 1.seconds)
            restore("a" to "good", "b" to "good")
            assertFalse(observed.expire(returnedAt + 9.seconds))
            assertTrue(observed.expire(returnedAt + 10.seconds))
            assertEquals(listOf("a", "b"), ids())
        }

        @Test
        fun `list an upstream that registers after the return`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = Instant.DISTANT_PAST, now = start + 1.seconds)
            restore("a" to "good")
            show(listOf("a", "b"), returnedAt, returnedAt + 1.seconds)
            assertEquals(listOf("a", "b"), ids())
        }

        @Test
        fun `list an upstream that had been missing once it is written again`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            show(listOf("a"), returnedAt = Instant.DISTANT_PAST, now = start + 1.seconds)
            restore("a" to "good", "b" to "good")
            show(mapOf("a" to "good", "b" to "warm"), returnedAt, returnedAt + 1.seconds)
            assertEquals(listOf("a", "b"), ids())
        }

        @Test
        fun `keep upstreams that the copy lacks until they could register again`() {
            show(listOf("a", "b"), returnedAt = Instant.DISTANT_PAST, now = start)
            restore("a" to "good")
            assertEquals(listOf("a", "b"), ids())
            observed.expire(returnedAt + 2.seconds)
            assertEquals(listOf("a"), ids())
        }
    }

    @Nested
    inner class RowsThatCannotBeRead {
        @Test
        fun `name no upstream and are logged once`() {
            repeat(2) {
                replica.replace(
                    TableContents(
                        listOf(StoreRow("a", "good", 1), StoreRow("x", "bad", 2)),
                        StoreRevision(era, ++version)
                    )
                )
                observed.update(replica, Instant.DISTANT_PAST, start)
            }
            assertEquals(listOf("a"), ids())
            assertEquals(listOf(LogEvent.STORE_ROW_UNREADABLE), logged.map { it.event })
        }
    }

    private fun show(keys: List<String>, returnedAt: Instant, now: Instant) {
        show(keys.associateWith { "good" }, returnedAt, now)
    }

    private fun show(valueByKey: Map<String, String>, returnedAt: Instant, now: Instant) {
        val rows = valueByKey.map { (key, value) -> StoreRow(key, value, 1) }
        replica.replace(TableContents(rows, StoreRevision(era, ++version)))
        observed.update(replica, returnedAt, now)
    }

    private fun leaving() =
        observed.listed().filter { it.record.isLeaving }.map { it.record.id.value }

    private fun ids() = observed.listed().map { it.record.id.value }.sorted()

    private fun record(id: String, value: String) = UpstreamRecord(
        id = InstanceId(id),
        incarnation = 1,
        service = ServiceName("s"),
        address = Address("10.0.0.1", 80),
        zone = ZoneName("z"),
        slots = 4,
        isLeaving = value == "leaving"
    )
}
