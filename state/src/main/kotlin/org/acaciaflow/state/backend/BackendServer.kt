package org.acaciaflow.state.backend

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.WorkEstimate

/**
 * This gateway's view of a backend server to whose sidecar it has an open link.
 *
 * [outstanding] holds this gateway's own attempts in flight at the server.
 */
data class BackendServer(
    val process: ProcessIdentity,
    val pool: PoolName,
    val dataCentre: DataCentre,
    val availability: Availability,
    val role: EngineRole,
    val load: LoadReport,
    val outstanding: PersistentMap<AttemptIdentity, WorkEstimate>,
) {
    val address: HostAddress
        get() = process.address

    /** Estimated exchanges in flight: those of other gateways as last reported plus this gateway's own current ones. */
    val predictedRunning: Int
        get() = (load.running - load.runningForReader).coerceAtLeast(0) + outstanding.size
}
