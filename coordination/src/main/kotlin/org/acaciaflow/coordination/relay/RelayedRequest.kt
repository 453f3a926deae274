package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.CallFacts
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutedService
import kotlin.time.Instant

/**
 * A request that was admitted, with the configuration [version] that applied.
 *
 * [service] is null when the configuration does not describe the pool. [digest] identifies method, target and body.
 */
data class RelayedRequest(
    val exchange: CallerExchange,
    val facts: CallFacts,
    val route: Route,
    val pool: PoolName,
    val service: RoutedService?,
    val version: Long,
    val digest: Long,
    val arrivedAt: Instant,
    val deadline: Instant,
) {
    /** Until when an answer has its full worth, as far as this gateway knows. */
    val dueAt: Instant
        get() = arrivedAt + route.target

    /** True when an answer that begins at [now] is late. */
    fun isLate(now: Instant): Boolean = now > dueAt
}
