package org.acaciaflow.state.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Instant

/**
 * The limits that backend servers have named, and the demands by which gateways share them.
 *
 * Demands are requests a second for a pool: [declared] those in this gateway's reports, [peerDemands] those in the
 * latest reports of others. [returns] is the latest time at which a refused caller of a pool was told to return.
 */
data class ServerLimits(
    val byLife: PersistentMap<BackendLife, ServerLimit>,
    val declared: PersistentMap<PoolName, DeclaredDemand>,
    val peerDemands: PersistentMap<HostAddress, PersistentMap<PoolName, Double>>,
    val returns: PersistentMap<PoolName, Instant>,
) {
    companion object {
        val NONE = ServerLimits(persistentMapOf(), persistentMapOf(), persistentMapOf(), persistentMapOf())
    }
}

/** The demands in this gateway's [latest] report and in the one before. */
data class DeclaredDemand(
    val latest: Double,
    val previous: Double,
)
