package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.relay.mayBeTakenUp
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.RoutingConfiguration

/** Finds the pools in which streams that may be taken up begin. */
internal object StreamDestinations {
    /** Returns the pools of the streams of each host, the most weighty first; hosts without such streams are left out. */
    fun byHost(configuration: RoutingConfiguration): Map<String, List<PoolName>> =
        configuration.routesByHost
            .mapValues { (_, routes) ->
                routes
                    .filter { mayBeTakenUp(it.kind) }
                    .flatMap { it.destinations }
                    .groupBy({ it.pool }, { it.weight })
                    .mapValues { (_, weights) -> weights.sum() }
                    .entries
                    .sortedWith(compareBy({ -it.value }, { it.key.name }))
                    .map { it.key }
            }.filterValues { it.isNotEmpty() }
}
