package org.acaciaflow.state.fleet

import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion

/** The registration of a backend server; [role] is [EngineRole.MIXED] for a plain service. */
data class BackendEntry(
    val life: BackendLife,
    val pool: PoolName,
    val address: HostAddress,
    val dataCentre: DataCentre,
    val slots: Int,
    val draining: Boolean,
    val role: EngineRole,
    val software: SoftwareVersion,
)
