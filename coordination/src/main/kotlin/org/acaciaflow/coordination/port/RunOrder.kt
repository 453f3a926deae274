package org.acaciaflow.coordination.port

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/**
 * What a gateway asks of a backend server.
 *
 * [call] holds the caller's headers as they may be passed on. [timeLeft] is the time until the caller's deadline.
 * [resumeAfter] is the last event that the caller has; [source] is where the engine fetches the prompt's KV cache.
 */
data class RunOrder(
    val backend: BackendEntry,
    val call: CallHead,
    val requestId: String,
    val timeLeft: Duration,
    val urgency: Int,
    val resumeAfter: String?,
    val source: CacheSource?,
)

/** KV cache that the engine at [engine] keeps under [handle] until it is fetched once. */
data class CacheSource(
    val engine: HostAddress,
    val handle: String,
)
