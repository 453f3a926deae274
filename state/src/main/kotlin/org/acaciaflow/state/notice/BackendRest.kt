package org.acaciaflow.state.notice

import kotlin.time.Instant

/**
 * A time in which a backend server wants no requests from this gateway.
 *
 * From [until] on, one request at a time may try it, the one of [trial], until an answer shows that it takes requests.
 */
data class BackendRest(
    val until: Instant,
    val trial: RestTrial?,
)

/** The request that tries a server after its rest; another one may try it from [until] on. */
data class RestTrial(
    val requestId: String,
    val until: Instant,
)
