package org.acaciaflow.coordination.port

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A gateway's order to a backend server to run a request.
 *
 * [call] holds only those of the caller's headers that may be forwarded. [timeLeft] is the time until the caller's
 * [deadline] when the order is given. [resumeAfter] is the last event that the caller has. [source] is where the engine
 * fetches the KV cache of the prompt; null when there is none to fetch. A success has to be an event stream if
 * [expectsEvents] is true. A request that is not [repeatable] runs at most once. [route] is the one that the call took.
 * [attempt] is the number of this attempt among those of the request, from 1; refused connections are not counted.
 */
data class RunOrder(
    val backend: BackendEntry,
    val call: CallHead,
    val requestId: String,
    val timeLeft: Duration,
    val deadline: Instant,
    val urgency: Int,
    val resumeAfter: String?,
    val source: CacheSource?,
    val expectsEvents: Boolean,
    val repeatable: Boolean,
    val route: RouteName,
    val attempt: Int = 1,
)

/** KV cache that the engine at [engine] holds under [handle] until it is fetched, which is possible once. */
data class CacheSource(
    val engine: HostAddress,
    val handle: String,
)
