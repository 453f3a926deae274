package org.acaciaflow.coordination.routing

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutingConfiguration

/** Finds the route of a request and the pool that serves it. */
object RouteLookup {
    /** The route of [host] with the longest prefix that begins [path]; null when there is none. */
    fun routeOf(
        configuration: RoutingConfiguration,
        host: String,
        path: String,
    ): Route? = configuration.routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** The destination of one request; equal request ids get the same one. */
    fun poolOf(
        route: Route,
        requestId: String,
    ): PoolName {
        val total = route.destinations.sumOf { it.weight }
        var point = Math.floorMod(requestId.hashCode(), total)
        for (destination in route.destinations) {
            if (point < destination.weight) return destination.pool
            point -= destination.weight
        }
        return route.destinations.last().pool
    }
}
