package org.shallotplank.core.retry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName

class RetryBudgetTest {
    private val scope = RetryScope(CustomerName("paletti"), ServiceName("modello-bozze"))

    @Nested
    inner class `A budget` {
        @Test
        fun `limits retries to its ratio of the requests plus its initial tokens`() {
            var budgets = RetryBudgets()
            var retries = 0
            repeat(1000) {
                budgets = budgets.afterRequest(scope, ratio = 0.1)
                budgets.afterRetry(scope, ratio = 0.1)?.let {
                    budgets = it
                    retries++
                }
            }
            assertTrue(retries in 100..103, "$retries retries")
        }

        @Test
        fun `is not spent by another customer`() {
            val spent = generateSequence(RetryBudgets()) { it.afterRetry(scope, 0.1) }.last()
            assertEquals(false, spent.allows(scope, 0.1))
            assertTrue(spent.allows(scope.copy(customer = CustomerName("klipstein")), 0.1))
        }
    }

    @Nested
    inner class `The time of an attempt` {
        @Test
        fun `is an equal share of the remaining time`() {
            val now = Instant.fromEpochSeconds(0)
            assertEquals(now + 300.milliseconds, attemptStartBy(now + 900.milliseconds, 3, now))
            assertEquals(now + 900.milliseconds, attemptStartBy(now + 900.milliseconds, 1, now))
        }
    }
}
