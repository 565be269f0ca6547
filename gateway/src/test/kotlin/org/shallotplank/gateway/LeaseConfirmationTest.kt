package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.group.GroupLease
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.group.LeaseConfirmation
import org.shallotplank.gateway.group.ObservedLease
import org.shallotplank.gateway.group.confirmedAt

/**
 * Confirmation of a lease by the store and by other entries.
 *
 * Guards against a keeper that issues no orders while demand changes, only because the store
 * refuses its requests or those of all entries, and against confirmation by outdated views.
 */
class LeaseConfirmationTest {
    private val start = Instant.fromEpochMilliseconds(0)
    private val ownConfirmedAt = start + 10.seconds
    private val lastContactAt = start + 30.seconds

    private fun confirmation(
        term: Long? = 3,
        storeAge: Duration? = 25.seconds,
        at: Instant = lastContactAt
    ) = LeaseConfirmation(at, term, storeAge)

    private fun confirmed(vararg confirmations: LeaseConfirmation?): Instant =
        confirmedAt(3, ownConfirmedAt, confirmations.toList())

    @Nested
    inner class AKeeperThatTheStoreRefuses {
        @Test
        fun `is confirmed by another entry as of its last read from the store`() {
            val recent = confirmation(storeAge = 2.seconds)
            assertEquals(lastContactAt - 2.seconds, confirmed(recent, null))
        }

        @Test
        fun `is not confirmed by an entry that observed another term or none`() {
            assertEquals(ownConfirmedAt, confirmed(confirmation(term = 4, storeAge = 1.seconds)))
            assertEquals(ownConfirmedAt, confirmed(confirmation(term = null, storeAge = 1.seconds)))
        }

        @Test
        fun `is not confirmed by an entry that does not know the age of its copy`() {
            assertEquals(ownConfirmedAt, confirmed(confirmation(storeAge = null), null))
        }
    }

    @Nested
    inner class AKeeperWhileTheStoreIsUnreachable {
        @Test
        fun `is confirmed by all other entries together as of the earliest report request`() {
            val earlier = lastContactAt - 1.seconds
            assertEquals(earlier, confirmed(confirmation(), confirmation(at = earlier)))
        }

        @Test
        fun `is not confirmed if an entry is unreachable, knows no lease or saw the next term`() {
            assertEquals(ownConfirmedAt, confirmed(confirmation(), null))
            assertEquals(ownConfirmedAt, confirmed(confirmation(), confirmation(term = null)))
            assertEquals(ownConfirmedAt, confirmed(confirmation(), confirmation(term = 4)))
        }

        @Test
        fun `is not confirmed by itself alone`() {
            assertEquals(ownConfirmedAt, confirmed())
        }
    }

    /** Guards against a keeper that goes on because it read the row of the next holder. */
    @Nested
    inner class ARowOfTheStore {
        private val own = KeeperCandidate("e1", incarnation = 1)
        private val observed = ObservedLease(own)

        @Test
        fun `confirms the lease in it until the time of the read`() {
            observed.confirm(GroupLease("e1", 1, term = 3), readAt = ownConfirmedAt)
            assertEquals(ownConfirmedAt, observed.confirmedAt(term = 3))
        }

        @Test
        fun `confirms no other term of the same holder`() {
            observed.confirm(GroupLease("e1", 1, term = 5), readAt = ownConfirmedAt)
            assertEquals(Instant.DISTANT_PAST, observed.confirmedAt(term = 3))
        }

        @Test
        fun `confirms nothing later by an older read`() {
            val lease = GroupLease("e1", 1, term = 3)
            observed.confirm(lease, readAt = ownConfirmedAt)
            observed.confirm(lease, readAt = start)
            assertEquals(ownConfirmedAt, observed.confirmedAt(term = 3))
        }
    }
}
