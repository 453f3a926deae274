package org.acaciaflow.coordination.retry

import org.acaciaflow.state.budget.RetryBudget
import org.acaciaflow.state.table.Transition

/** Keeps retries to a share of fresh requests, so that a failing fleet is not flooded with retries. */
object RetryBudgetPolicy {
    private const val BURST_RETRIES = 32.0
    private const val RETRIES_PER_REQUEST = 0.2

    fun initial(): RetryBudget = RetryBudget(BURST_RETRIES, BURST_RETRIES, RETRIES_PER_REQUEST)

    /** Adds the share of one fresh request. */
    fun earned(budget: RetryBudget): RetryBudget =
        budget.copy(tokens = (budget.tokens + budget.tokensPerRequest).coerceAtMost(budget.maximumTokens))

    /** Takes one retry; the outcome is false when none is left. */
    fun spent(budget: RetryBudget): Transition<RetryBudget, Boolean> =
        when {
            budget.tokens < 1.0 -> Transition(budget, false)
            else -> Transition(budget.copy(tokens = budget.tokens - 1.0), true)
        }
}
