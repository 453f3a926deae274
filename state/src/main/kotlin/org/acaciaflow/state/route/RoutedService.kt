package org.acaciaflow.state.route

import org.acaciaflow.state.identity.PoolName

/** The configuration of a pool; [engine] is null for a plain service. */
data class RoutedService(
    val pool: PoolName,
    val maximumConnections: Int,
    val engine: EngineProperties?,
)
