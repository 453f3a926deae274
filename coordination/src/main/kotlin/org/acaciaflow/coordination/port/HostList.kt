package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress

/** The platform's list of hosts, which may be out of date. */
interface HostList {
    /** Reads the sidecars of live and leaving hosts; null when the list cannot be read. */
    suspend fun read(): PersistentList<ListedHost>?
}

/** A host that runs a sidecar. */
data class ListedHost(
    val sidecar: HostAddress,
    val dataCentre: DataCentre,
    val leaving: Boolean,
)
