package org.acaciaflow.state.route

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.RouteName
import kotlin.time.Duration

/**
 * How the requests of one host and path prefix are served.
 *
 * [timeout] is the longest time a caller is kept waiting, [target] the time in which an answer has its full worth.
 * [urgency] is 0 for the most urgent requests. [maximumAttempts] bounds the backend servers that one request reaches.
 * [longestPause] is the longest pause between two events of a stream that is still on time.
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
    val longestPause: Duration?,
)
