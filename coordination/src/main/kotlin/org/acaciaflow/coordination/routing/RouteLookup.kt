package org.acaciaflow.coordination.routing

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutingConfiguration

/** Finds the route of a request and the pool that serves it. */
object RouteLookup {
    /** Returns the route of [host] with the longest prefix that matches [path]; null if none matches. */
    fun routeOf(
        configuration: RoutingConfiguration,
        host: String,
        path: String,
    ): Route? = configuration.routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Chooses one of [destinations] for a request in proportion to the weights; equal request ids get the same pool. */
    fun poolOf(
        destinations: List<Destination>,
        requestId: String,
    ): PoolName {
        val total = destinations.sumOf { it.weight }
        var point = Math.floorMod(requestId.hashCode(), total)
        for (destination in destinations) {
            if (point < destination.weight) return destination.pool
            point -= destination.weight
        }
        return destinations.last().pool
    }
}
