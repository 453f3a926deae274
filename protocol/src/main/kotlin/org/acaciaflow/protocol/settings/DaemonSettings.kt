package org.acaciaflow.protocol.settings

import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName

/** Settings of a gateway process. */
data class GatewaySettings(
    val callers: HostAddress,
    val operators: HostAddress,
    val dataCentre: DataCentre,
    val store: HostAddress,
    val hostList: HostAddress,
    val exchangeWorkers: Int,
    val bodyLimitBytes: Long,
)

/**
 * Settings of a sidecar process.
 *
 * [probePath] is asked of the backend to see whether it is alive. [ordersEngine] when the backend is a model engine
 * that takes orders from the plan.
 */
data class SidecarSettings(
    val links: HostAddress,
    val operators: HostAddress,
    val dataCentre: DataCentre,
    val pool: PoolName,
    val store: HostAddress,
    val backend: HostAddress,
    val probePath: String,
    val capacity: Int,
    val ordersEngine: Boolean,
)
