package org.acaciaflow.state.backend

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.WorkEstimate

/** A backend server with a live link to its sidecar, as this gateway sees it. */
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

    /** Exchanges in progress: those of others as last reported, and this gateway's own as of now. */
    val predictedRunning: Int
        get() = (load.running - load.runningForReader).coerceAtLeast(0) + outstanding.size
}
