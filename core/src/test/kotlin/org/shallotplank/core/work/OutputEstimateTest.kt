package org.shallotplank.core.work

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.shallotplank.core.CustomerName

class OutputEstimateTest {
    private val random = Random(SEED).asJavaRandom()

    private fun normal(deviation: Double) = exp(deviation * random.nextGaussian())

    private fun learned(answers: Int, hintError: Double): OutputEstimate =
        (1..answers).fold(OutputEstimate()) { estimate, _ ->
            val tokens = 90 * normal(deviation = 0.9)
            val hint = (tokens * normal(hintError)).toInt().coerceAtLeast(1)
            estimate.with("r", customer = null, tokens, hint)
        }

    private fun OutputEstimate.of(size: RequestSize = RequestSize(), customer: String? = null) =
        expectedTokens("r", customer?.let(::CustomerName), size, usualTokens = null)

    @Nested
    inner class Lengths {
        @Test
        fun `are unknown before the first answers, unless a usual one is published`() {
            assertNull(OutputEstimate().of())
            assertEquals(
                96.0,
                OutputEstimate().expectedTokens("r", null, RequestSize(), usualTokens = 96)
            )
        }

        @Test
        fun `are those of the customer once enough of its answers are known`() {
            val estimate = (1..40).fold(OutputEstimate()) { known, n ->
                val isLong = n % 2 == 0
                val customer = CustomerName(if (isLong) "long" else "short")
                known.with("r", customer, if (isLong) 200.0 else 20.0, hintTokens = null)
            }
            assertEquals(
                200.0,
                assertNotNull(estimate.of(customer = "long")),
                absoluteTolerance = 1.0
            )
            assertEquals(
                20.0,
                assertNotNull(estimate.of(customer = "short")),
                absoluteTolerance = 1.0
            )
            val ofOther = assertNotNull(estimate.of(customer = "other"))
            assertTrue(ofOther in 90.0..130.0, "$ofOther")
        }

        @Test
        fun `do not exceed the stated maximum`() {
            val estimate = learned(answers = 100, hintError = 3.0)
            assertEquals(7.0, estimate.of(RequestSize(maxOutputTokens = 7)))
        }

        /** Guards against memory that grows with the number of customers. */
        @Test
        fun `are kept for a bounded number of keys, the most recent ones`() {
            val estimate = (1..2_000).fold(OutputEstimate()) { known, n ->
                known.with("r", CustomerName("c$n"), tokens = 10.0, hintTokens = null)
            }
            assertEquals(OutputEstimate.MAX_KEYS, estimate.learned.size)
            assertTrue(OutputKey("r") in estimate.learned)
            assertTrue(OutputKey("r", CustomerName("c2000")) in estimate.learned)
        }
    }

    @Nested
    inner class Hints {
        @Test
        fun `that have been right are followed`() {
            val estimate = learned(answers = 300, hintError = 0.05)
            val expected = assertNotNull(estimate.of(RequestSize(hintTokens = 400)))
            assertTrue(abs(ln(expected / 400)) < 0.2, "$expected")
        }

        /** Guards against estimates that follow the hints of callers who guess. */
        @Test
        fun `that say nothing about the answers are ignored`() {
            val estimate = (1..300).fold(OutputEstimate()) { known, _ ->
                val hint = (90 * normal(deviation = 1.0)).toInt().coerceAtLeast(1)
                known.with("r", customer = null, tokens = 90 * normal(deviation = 0.5), hint)
            }
            val high = assertNotNull(estimate.of(RequestSize(hintTokens = 1_000)))
            val low = assertNotNull(estimate.of(RequestSize(hintTokens = 10)))
            assertTrue(high / low < 2, "$low to $high")
        }

        @Test
        fun `that are often far off count in part`() {
            val estimate = learned(answers = 300, hintError = 0.9)
            val high = assertNotNull(estimate.of(RequestSize(hintTokens = 900)))
            assertTrue(high in 150.0..600.0, "$high")
        }
    }

    private companion object {
        const val SEED = 3
    }
}
