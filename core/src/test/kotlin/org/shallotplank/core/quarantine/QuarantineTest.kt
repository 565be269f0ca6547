package org.shallotplank.core.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName

class QuarantineTest {
    private val now = Instant.fromEpochSeconds(0)
    private val fingerprint = RequestFingerprint(CustomerName("klipstein"), "body")

    @Nested
    inner class `A request` {
        @Test
        fun `is refused after crashes that two entries saw`() {
            val one = Quarantine().crashed("a")
            val other = Quarantine().crashed("b")
            assertEquals(QuarantineVerdict.SUSPECT, one.verdict(fingerprint, now))
            val merged = one.merge(other)
            assertEquals(QuarantineVerdict.QUARANTINED, merged.verdict(fingerprint, now))
        }

        @Test
        fun `is not refused for one crash that is reported twice`() {
            val merged = Quarantine().crashed("a").merge(Quarantine().crashed("a", now + 1.seconds))
            assertEquals(QuarantineVerdict.SUSPECT, merged.verdict(fingerprint, now))
        }

        @Test
        fun `is cleared by an answer, even one that is merged after another crash`() {
            val answered = Quarantine().crashed("a").answered(fingerprint, now + 1.seconds)
            val merged = Quarantine().crashed("b").merge(answered)
            assertEquals(QuarantineVerdict.CLEAR, merged.verdict(fingerprint, now))
        }

        @Test
        fun `is forgotten after the time to live`() {
            val quarantine = Quarantine(timeToLive = 5.minutes).crashed("a").crashed("b")
            assertEquals(QuarantineVerdict.CLEAR, quarantine.verdict(fingerprint, now + 5.minutes))
            assertEquals(0, quarantine.expire(now + 5.minutes).records.size)
        }
    }

    @Nested
    inner class Merging {
        @Test
        fun `does not depend on order or repetition`() {
            val parts = listOf("a", "b", "c").mapIndexed { index, attempt ->
                Quarantine().crashed(attempt, now + index.seconds)
            }
            val forward = parts.reduce(Quarantine::merge)
            val backward = parts.reversed().reduce(Quarantine::merge)
            assertEquals(forward, backward)
            assertEquals(forward, forward.merge(backward))
        }
    }

    private fun Quarantine.crashed(attempt: String, at: Instant = now): Quarantine =
        crashed(fingerprint, AttemptId(attempt), at)
}
