package org.acaciaflow.state.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.WorkEstimate

/** The backend servers that this gateway has a link to. */
data class BackendServers(
    val servers: PersistentMap<HostAddress, BackendServer>,
) {
    /** Adds a server; an earlier life at the same address is replaced. */
    fun joined(server: BackendServer): BackendServers = copy(servers = servers.put(server.address, server))

    /** Removes the server when the life that left is the one known. */
    fun left(process: ProcessIdentity): BackendServers =
        when (servers[process.address]?.process) {
            process -> copy(servers = servers.remove(process.address))
            else -> this
        }

    /** Changes the server when [process] is the life known. */
    fun changed(
        process: ProcessIdentity,
        change: (BackendServer) -> BackendServer,
    ): BackendServers {
        val server = servers[process.address] ?: return this
        if (server.process != process) return this
        return copy(servers = servers.put(server.address, change(server)))
    }

    /** Counts an attempt as outstanding. */
    fun assigned(
        process: ProcessIdentity,
        attempt: AttemptIdentity,
        estimate: WorkEstimate,
    ): BackendServers = changed(process) { it.copy(outstanding = it.outstanding.put(attempt, estimate)) }

    /** Counts an attempt as outstanding no more. */
    fun released(
        process: ProcessIdentity,
        attempt: AttemptIdentity,
    ): BackendServers = changed(process) { it.copy(outstanding = it.outstanding.remove(attempt)) }

    companion object {
        val NONE = BackendServers(persistentMapOf())
    }
}
