package org.acaciaflow.state.route

import org.acaciaflow.state.identity.PoolName

/** A pool as the configuration describes it; [engine] is null for a plain service. */
data class RoutedService(
    val pool: PoolName,
    val maximumConnections: Int,
    val engine: EngineProperties?,
)
