package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.relay.mayBeTakenUp
import org.acaciaflow.coordination.routing.RouteLookup
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.stream.StreamRoute

/** Finds the pools in which streams that may be taken up begin. */
internal object StreamRoutes {
    /** Returns the routes of each host as they concern its streams; hosts without such streams are left out. */
    fun byHost(configuration: RoutingConfiguration): Map<String, PersistentList<StreamRoute>> =
        configuration.routesByHost
            .filterValues { routes -> routes.any { mayBeTakenUp(it.kind) } }
            .mapValues { (_, routes) -> routes.map(::routeOf).toPersistentList() }

    /** Returns the pool to which [routes] lead [stream], at [path]; null if they don't, or if that depends on its unknown name. */
    fun poolOf(
        routes: List<StreamRoute>,
        path: String,
        stream: StreamIdentity?,
    ): PoolName? {
        val destinations = routes.firstOrNull { path.startsWith(it.prefix) }?.destinations.orEmpty()
        return when {
            destinations.isEmpty() -> null
            stream != null -> RouteLookup.poolOf(destinations, stream.requestId)
            else -> destinations.map { it.pool }.distinct().singleOrNull()
        }
    }

    private fun routeOf(route: Route): StreamRoute =
        StreamRoute(route.prefix, if (mayBeTakenUp(route.kind)) route.destinations else persistentListOf())
}
