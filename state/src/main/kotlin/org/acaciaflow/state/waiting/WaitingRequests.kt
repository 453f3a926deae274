package org.acaciaflow.state.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.PoolName

/** All requests of a gateway that are queued for a backend server, by pool. */
data class WaitingRequests(
    val pools: PersistentMap<PoolName, PoolQueue>,
) {
    val length: Int
        get() = pools.values.sumOf { it.length }

    fun pool(name: PoolName): PoolQueue = pools[name] ?: PoolQueue.EMPTY

    fun withPool(
        name: PoolName,
        queue: PoolQueue,
    ): WaitingRequests = copy(pools = pools.put(name, queue))

    companion object {
        val NONE = WaitingRequests(persistentMapOf())
    }
}
