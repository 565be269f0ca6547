package org.shallotplank.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.peer.SuppliedTable
import org.shallotplank.gateway.peer.supplied
import org.shallotplank.gateway.store.ChangeBatch
import org.shallotplank.gateway.store.FollowSettings
import org.shallotplank.gateway.store.RowChange
import org.shallotplank.gateway.store.StoreContact
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableFollower

/** Guards against members whose copy differs from the store's table although their hub has it. */
class SuppliedTableTest {
    private var now = Instant.fromEpochSeconds(100)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }

    private val contact = StoreContact(clock)

    private fun follower(version: Long, vararg rows: StoreRow, era: Long = 1) = TableFollower(
        settings = FollowSettings("t", wait = 1.seconds),
        store = SharedTables(),
        clock = clock,
        random = Random(1),
        log = {},
        contact = contact,
        onContact = { _, _ -> }
    ).apply { adopt(TableContents(rows.toList(), revision(version, era)), "test") }

    private fun revision(version: Long, era: Long = 1) = StoreRevision(era, version)

    private fun batch(from: Long, to: Long, vararg changes: RowChange) =
        ChangeBatch(revision(from), TableChanges(changes.toList(), revision(to)))

    private fun written(key: String, version: Long) =
        RowChange.Written(StoreRow(key, "$key$version", version))

    private fun TableFollower.values() = replica.rows.map { it.value }.sorted()

    /** The batches of [hub] as a member decodes them. */
    private fun supplied(hub: TableFollower): List<ChangeBatch> = SuppliedTable(
        name = "t",
        era = hub.replica.revision.era,
        version = hub.replica.revision.version,
        contactAgeMillis = 0,
        batches = hub.changeLog.batches.map { it.supplied() }
    ).changeBatches()

    private val kept = StoreRow("a", "a1", 1)
    private val removed = StoreRow("b", "b2", 2)

    @Nested
    inner class ChangesFromAHub {
        private val hub = follower(2, kept, removed).apply {
            apply(listOf(batch(2, 4, RowChange.Removed("b"), written("c", 4))))
            now += 400.milliseconds
            apply(listOf(batch(4, 6, written("b", 5), RowChange.Removed("a"))))
        }

        @Test
        fun `bring a member to the hub's state, with rows removed and written again`() {
            val member = follower(2, kept, removed)
            assertTrue(member.apply(supplied(hub)))
            assertEquals(listOf("b5", "c4"), member.values())
            assertEquals(hub.replica.revision, member.replica.revision)
        }

        @Test
        fun `fit a member that has read a revision between those of the hub`() {
            val member = follower(5, kept, StoreRow("b", "b5", 5), StoreRow("c", "c4", 4))
            assertTrue(member.apply(supplied(hub)))
            assertEquals(listOf("b5", "c4"), member.values())
        }

        @Test
        fun `leave a member alone that is ahead`() {
            val member = follower(8, StoreRow("b", "b8", 8))
            assertTrue(member.apply(supplied(hub)))
            assertEquals(listOf("b8"), member.values())
        }

        @Test
        fun `are not used by a member that lacks earlier ones or is in another era`() {
            val behind = follower(1, kept)
            assertFalse(behind.apply(supplied(hub)))
            assertEquals(listOf("a1"), behind.values())
            val restored = follower(1, kept, era = 0)
            assertFalse(restored.apply(supplied(hub)))
            assertEquals(listOf("a1"), restored.values())
        }

        @Test
        fun `are forgotten after a while and when the hub's copy is replaced`() {
            now += 1.4.seconds
            assertEquals(1, hub.changeLog.batches.size)
            hub.adopt(TableContents(listOf(kept), revision(3, era = 2)), "test")
            assertEquals(emptyList(), hub.changeLog.batches)
        }
    }

    @Nested
    inner class AMemberAfterAContactOfItsHub {
        @Test
        fun `is as recent as the hub's contact, not as the answer`() {
            val member = follower(2, kept)
            contact.onSupplierReturned(Instant.DISTANT_PAST)
            member.onSupplied(now - 700.milliseconds, now + 1.seconds)
            assertEquals(now - 700.milliseconds, member.answeredAt)
            contact.onSupplierReturned(now - 1.seconds)
            member.onSupplied(now - 900.milliseconds, now + 1.seconds)
            assertEquals(now - 700.milliseconds, member.answeredAt)
            assertEquals(now - 1.seconds, contact.returnedAt)
        }
    }
}
