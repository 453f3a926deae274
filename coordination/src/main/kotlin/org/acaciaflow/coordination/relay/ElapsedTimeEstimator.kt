package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration

/**
 * Estimates how long ago a caller first sent its request.
 *
 * Callers state their remaining time, so a call with less time left than others on its route is usually a retry. Some
 * callers just use a shorter time limit, so the estimate is used only to order waiting requests.
 */
internal class ElapsedTimeEstimator(
    private val longest: SharedTable<PersistentMap<RouteName, Duration>>,
) {
    /** Returns the estimate for a call on [route] whose remaining time is [limit]; zero if the call states none. */
    fun estimate(
        route: RouteName,
        limit: Duration?,
    ): Duration {
        if (limit == null) return Duration.ZERO
        val known = longest.snapshot()[route]
        if (known != null && known >= limit) return known - limit
        longest.update { withLimit(it, route, limit) }
        return Duration.ZERO
    }

    private fun withLimit(
        limits: PersistentMap<RouteName, Duration>,
        route: RouteName,
        limit: Duration,
    ): PersistentMap<RouteName, Duration> {
        val kept = if (limits.size < MAXIMUM_ROUTES) limits else persistentMapOf()
        return kept.put(route, maxOf(limit, kept[route] ?: limit))
    }

    private companion object {
        const val MAXIMUM_ROUTES = 10_000 // clearing the table at this size drops routes that no longer exist
    }
}
