package org.acaciaflow.state.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.WorkEstimate

/** The backend servers to which this gateway has a link, by the address of their sidecar. */
data class BackendServers(
    val servers: PersistentMap<HostAddress, BackendServer>,
) {
    /** Adds [server], replacing an earlier process at the same address. */
    fun added(server: BackendServer): BackendServers = copy(servers = servers.put(server.address, server))

    /** Removes the server if it still belongs to [process]; a successor at the same address is kept. */
    fun removed(process: ProcessIdentity): BackendServers =
        when (servers[process.address]?.process) {
            process -> copy(servers = servers.remove(process.address))
            else -> this
        }

    /** Applies [change] to the server if it still belongs to [process]. */
    fun changed(
        process: ProcessIdentity,
        change: (BackendServer) -> BackendServer,
    ): BackendServers {
        val server = servers[process.address] ?: return this
        if (server.process != process) return this
        return copy(servers = servers.put(server.address, change(server)))
    }

    /** Adds an attempt to those outstanding at the server. */
    fun assigned(
        process: ProcessIdentity,
        attempt: AttemptIdentity,
        estimate: WorkEstimate,
    ): BackendServers = changed(process) { it.copy(outstanding = it.outstanding.put(attempt, estimate)) }

    /** Removes an attempt from those outstanding at the server. */
    fun released(
        process: ProcessIdentity,
        attempt: AttemptIdentity,
    ): BackendServers = changed(process) { it.copy(outstanding = it.outstanding.remove(attempt)) }

    companion object {
        val NONE = BackendServers(persistentMapOf())
    }
}
