package org.acaciaflow.coordination.retry

import org.acaciaflow.state.budget.RetryBudget
import org.acaciaflow.state.table.Transition

/** Limits retries to a share of new requests, so that retries do not overload a failing fleet. */
object RetryBudgetPolicy {
    private const val BURST_RETRIES = 32.0
    private const val RETRIES_PER_REQUEST = 0.2

    fun initial(): RetryBudget = RetryBudget(BURST_RETRIES, BURST_RETRIES, RETRIES_PER_REQUEST)

    /** Returns the budget with the retry share of one new request added, up to the maximum. */
    fun earned(budget: RetryBudget): RetryBudget =
        budget.copy(tokens = (budget.tokens + budget.tokensPerRequest).coerceAtMost(budget.maximumTokens))

    /** Takes one retry from the budget; the outcome is false when less than one is left. */
    fun spent(budget: RetryBudget): Transition<RetryBudget, Boolean> =
        when {
            budget.tokens < 1.0 -> Transition(budget, false)
            else -> Transition(budget.copy(tokens = budget.tokens - 1.0), true)
        }
}
