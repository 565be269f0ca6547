package org.shallotplank.core.work

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LengthMomentsTest {
    /** Log-normal events with a [spread] around 19, limited to 2.5 times the mean. */
    private fun moments(spread: Double, seed: Int, count: Int = 1_500): LengthMoments {
        val random = Random(seed).asJavaRandom()
        val variance = ln(1 + spread * spread)
        return (1..count).fold(LengthMoments()) { moments, _ ->
            val factor = exp(sqrt(variance) * random.nextGaussian() - variance / 2)
            moments.with((MEAN * factor).coerceIn(1.0, MEAN * 2.5).toInt().toDouble())
        }
    }

    private fun isDispersed(spread: Double, seed: Int) =
        isDispersed(moments(spread, seed).dispersion, isInEffect = false)

    /** Guards against another way of routing where counting requests suits the load. */
    @Test
    fun `lengths with a spread of 0,7 to 0,9 are not dispersed`() {
        (1..40).forEach { seed ->
            listOf(0.7, 0.8, 0.9).forEach { assertFalse(isDispersed(it, seed), "$it, seed $seed") }
        }
    }

    @Test
    fun `lengths with a spread of 1,2 to 1,5 are dispersed`() {
        val hits = (1..40).count { isDispersed(1.2, it) }
        assertTrue(hits >= 36, "$hits of 40 at 1.2")
        (1..40).forEach { seed -> assertTrue(isDispersed(1.5, seed), "seed $seed") }
    }

    @Test
    fun `a few lengths say nothing about the dispersion`() {
        assertNull(moments(spread = 1.5, seed = 1, count = 200).dispersion)
    }

    @Test
    fun `the lengths of several entries count together`() {
        val pooled = (1..10).fold(LengthMoments()) { sum, seed ->
            sum + moments(spread = 1.4, seed = seed, count = 50)
        }
        assertEquals(500, pooled.observed)
        assertTrue(isDispersed(pooled.dispersion, isInEffect = false))
    }

    @Test
    fun `a service stays dispersed between the thresholds`() {
        assertTrue(isDispersed(0.76, isInEffect = true))
        assertFalse(isDispersed(0.76, isInEffect = false))
        assertFalse(isDispersed(0.70, isInEffect = true))
    }

    private companion object {
        const val MEAN = 19.0
    }
}
