package org.shallotplank.core.retry

import kotlin.math.min
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName

/**
 * Token bucket that limits retries to a ratio of first attempts.
 *
 * Each first attempt adds [ratio] of a token, up to [MAX_TOKENS], and each retry takes a whole
 * token. Once the accumulated tokens are spent, retries add at most [ratio] to the load.
 */
public data class RetryBudget(val ratio: Double, val tokens: Double = INITIAL_TOKENS) {
    /** Returns the budget after a first attempt. */
    public fun afterRequest(): RetryBudget = copy(tokens = min(MAX_TOKENS, tokens + ratio))

    /** Returns the budget after one retry, or null if the retry is not allowed. */
    public fun afterRetry(): RetryBudget? = if (tokens < 1.0) null else copy(tokens = tokens - 1.0)

    private companion object {
        const val INITIAL_TOKENS = 3.0
        const val MAX_TOKENS = 10.0
    }
}

/** Customer and service whose retries one [RetryBudget] limits. */
public data class RetryScope(val customer: CustomerName, val service: ServiceName)

/** The retry budgets of one entry, one per customer and service. */
public data class RetryBudgets(
    private val budgets: PersistentMap<RetryScope, RetryBudget> = persistentMapOf()
) {
    /** Returns the budgets after a first attempt of [scope], whose retry ratio is [ratio]. */
    public fun afterRequest(scope: RetryScope, ratio: Double): RetryBudgets {
        val budget = budget(scope, ratio)
        return RetryBudgets(budgets.put(scope, budget.afterRequest()))
    }

    /** Returns the budgets after one retry of [scope], or null if the retry is not allowed. */
    public fun afterRetry(scope: RetryScope, ratio: Double): RetryBudgets? {
        val budget = budget(scope, ratio).afterRetry() ?: return null
        return RetryBudgets(budgets.put(scope, budget))
    }

    /** Whether [scope] may make a retry now. */
    public fun allows(scope: RetryScope, ratio: Double): Boolean =
        budget(scope, ratio).afterRetry() != null

    private fun budget(scope: RetryScope, ratio: Double): RetryBudget =
        budgets[scope]?.copy(ratio = ratio) ?: RetryBudget(ratio)
}
