package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.peer.Peers

/** Guards against entries that count as alive and as away by turns because polls are too rare. */
class PeerLivenessTest {
    @Nested
    inner class TheIntervalOfPolls {
        @Test
        fun `leaves time for a failed poll and another one with up to 300 peers`() {
            for (peers in 1..300) {
                val worst = Peers.TIMEOUT + Peers.pollInterval(peers) + ANSWER_TIME
                assertTrue(worst < Peers.LIVENESS_TIMEOUT, "$worst with $peers peers")
            }
        }

        @Test
        fun `is as in earlier builds with up to 24 entries`() {
            assertEquals(250.milliseconds, Peers.pollInterval(3))
            assertEquals(480.milliseconds, Peers.pollInterval(12))
            assertEquals(760.milliseconds, Peers.pollInterval(19))
            assertEquals(920.milliseconds, Peers.pollInterval(23))
        }
    }

    private companion object {
        /** Time until a peer under load answers a poll. */
        val ANSWER_TIME = 200.milliseconds
    }
}
