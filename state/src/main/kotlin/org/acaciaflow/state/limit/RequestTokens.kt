package org.acaciaflow.state.limit

import kotlin.time.Instant

/**
 * A token bucket; each request that is sent takes one token.
 *
 * It held [amount] tokens at [at] and has got [perSecond] tokens a second since.
 */
data class RequestTokens(
    val amount: Double,
    val perSecond: Double,
    val at: Instant,
)

/** The next token is kept for the request [requestId] until [until], unless a more urgent one takes it. */
data class TokenReservation(
    val requestId: String,
    val urgency: Int,
    val until: Instant,
)
