package org.acaciaflow.protocol.settings

import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName

/**
 * Settings of a gateway process.
 *
 * [callers] and [operators] are the addresses that the gateway listens on for requests and for status pages. [store]
 * and [hostList] are the addresses of platform services. [bodyLimitBytes] is the maximum size of a request body.
 */
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
 * [links] and [operators] are the addresses that the sidecar listens on for gateways and for status pages. [probePath]
 * is the path of the backend's health probe. [isModelEngine] is true when the backend is a model engine, which the
 * sidecar keeps in the state that the plan prescribes, and false for a plain service.
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
    val isModelEngine: Boolean,
)
