package org.acaciaflow.state.limit

import org.acaciaflow.state.identity.PoolName

/**
 * The limit of a backend server of [pool] on the requests from all gateways together, and this gateway's part of it.
 *
 * [loggedPerSecond] is the limit in the last event; null after the event for its end.
 */
data class ServerLimit(
    val pool: PoolName,
    val word: LimitWord,
    val tokens: RequestTokens,
    val reservation: TokenReservation?,
    val loggedPerSecond: Double?,
)
