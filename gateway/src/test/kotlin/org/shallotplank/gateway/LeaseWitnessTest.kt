package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.group.LeaseWitness
import org.shallotplank.gateway.group.confirmedAt

/** Load pattern: the store turns the keeper away, or everybody, while demand moves on. */
class LeaseWitnessTest {
    private val start = Instant.fromEpochMilliseconds(0)
    private val ownAt = start + 10.seconds
    private val heardAt = start + 30.seconds

    private fun witness(term: Long? = 3, storeAge: Duration? = 25.seconds, at: Instant = heardAt) =
        LeaseWitness(at, term, storeAge)

    private fun confirmed(vararg witnesses: LeaseWitness?): Instant =
        confirmedAt(3, ownAt, witnesses.toList())

    @Nested
    inner class AKeeperThatTheStoreTurnsAway {
        @Test
        fun `is confirmed by what the store told another entry, as of then`() {
            val told = witness(storeAge = 2.seconds)
            assertEquals(heardAt - 2.seconds, confirmed(told, null))
        }

        @Test
        fun `is not confirmed by one that saw another term, or none`() {
            assertEquals(ownAt, confirmed(witness(term = 4, storeAge = 1.seconds)))
            assertEquals(ownAt, confirmed(witness(term = null, storeAge = 1.seconds)))
        }

        @Test
        fun `is not confirmed by one that does not know how old its rows are`() {
            assertEquals(ownAt, confirmed(witness(storeAge = null), null))
        }
    }

    @Nested
    inner class AKeeperWhileTheStoreTellsNobody {
        @Test
        fun `is confirmed by all other entries together, as of the first that was asked`() {
            val earlier = heardAt - 1.seconds
            assertEquals(earlier, confirmed(witness(), witness(at = earlier)))
        }

        @Test
        fun `is not confirmed while one is not heard, knows no lease, or saw a successor`() {
            assertEquals(ownAt, confirmed(witness(), null))
            assertEquals(ownAt, confirmed(witness(), witness(term = null)))
            assertEquals(ownAt, confirmed(witness(), witness(term = 4)))
        }

        @Test
        fun `is not confirmed by itself alone`() {
            assertEquals(ownAt, confirmed())
        }
    }

    @Nested
    inner class AnEntryThatHoldsNoLease {
        @Test
        fun `has nothing that others could confirm`() {
            assertEquals(ownAt, confirmedAt(null, ownAt, listOf(witness(storeAge = 0.seconds))))
        }
    }
}
