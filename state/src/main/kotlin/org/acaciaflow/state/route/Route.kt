package org.acaciaflow.state.route

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.RouteName
import kotlin.time.Duration

/**
 * How requests for one host and path prefix are served.
 *
 * [timeout] is the maximum time that a caller waits, [target] the latency up to which an answer has its full value. An
 * [urgency] of 0 is the most urgent. [maximumAttempts] limits the number of backend servers that one request may
 * reach. [targetEventGap] is the longest time between two events of a stream that is on schedule; null when the route
 * sets none.
 */
data class Route(
    val name: RouteName,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val target: Duration,
    val urgency: Int,
    val destinations: PersistentList<Destination>,
    val maximumAttempts: Int,
    val targetEventGap: Duration?,
)
