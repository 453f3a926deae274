package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration

/**
 * Estimates how long ago a caller first asked.
 *
 * Callers state the time that they have left, so a call that states less than others on its route is mostly a repeated
 * one. Some callers are just less patient, so the estimate serves only to put waiting requests in order.
 */
internal class TimeLimits(
    private val longest: SharedTable<PersistentMap<RouteName, Duration>>,
) {
    /** The time that a caller on [route] has spent before it sent a call with [limit]; zero when it states none. */
    fun spent(
        route: RouteName,
        limit: Duration?,
    ): Duration {
        if (limit == null) return Duration.ZERO
        val known = longest.snapshot()[route]
        if (known != null && known >= limit) return known - limit
        longest.update { noted(it, route, limit) }
        return Duration.ZERO
    }

    private fun noted(
        limits: PersistentMap<RouteName, Duration>,
        route: RouteName,
        limit: Duration,
    ): PersistentMap<RouteName, Duration> {
        val kept = if (limits.size < MAXIMUM_ROUTES) limits else persistentMapOf()
        return kept.put(route, maxOf(limit, kept[route] ?: limit))
    }

    private companion object {
        const val MAXIMUM_ROUTES = 10_000 // routes that are gone are forgotten when so many have been seen
    }
}
