package org.acaciaflow.state.limit

import kotlin.time.Instant

/** What a backend server said last, at [at] by the local clock, of the requests that it takes from all gateways. */
sealed interface LimitWord {
    val at: Instant

    /** It takes [perSecond] requests a second from all gateways together. */
    data class Named(
        val perSecond: Double,
        override val at: Instant,
    ) : LimitWord

    /** It names no limit any more. */
    data class Ended(
        override val at: Instant,
    ) : LimitWord
}
