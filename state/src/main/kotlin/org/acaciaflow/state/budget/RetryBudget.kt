package org.acaciaflow.state.budget

/** Retries that may still be made; fresh requests add to it, retries take from it. */
data class RetryBudget(
    val tokens: Double,
    val maximumTokens: Double,
    val tokensPerRequest: Double,
)
