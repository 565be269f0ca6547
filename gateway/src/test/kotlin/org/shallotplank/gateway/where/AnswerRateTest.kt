package org.shallotplank.gateway.where

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Guards against questions that take the event loop from callers. */
class AnswerRateTest {
    private val start = Instant.fromEpochSeconds(1_000)

    @Test
    fun `questions above the limit of a second are not answered until the next one`() {
        val rate = AnswerRate()
        val answered = (0 until 900).count { rate.mayAnswer(start + it.milliseconds) }
        assertEquals(AnswerRate.MAX_PER_WINDOW, answered)
        assertFalse(rate.mayAnswer(start + 999.milliseconds))
        assertTrue(rate.mayAnswer(start + 1_000.milliseconds))
    }
}
