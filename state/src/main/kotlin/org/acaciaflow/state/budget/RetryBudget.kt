package org.acaciaflow.state.budget

/**
 * A token bucket that limits retries to a share of the requests.
 *
 * Each new request adds [tokensPerRequest], up to [maximumTokens]; each retry takes one token.
 */
data class RetryBudget(
    val tokens: Double,
    val maximumTokens: Double,
    val tokensPerRequest: Double,
)
