package org.acaciaflow.state.plan

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.HostAddress

/**
 * The desired states of the engines of one pool in one data centre, by the address of their sidecar.
 *
 * [revision] is the store revision of the plan, which also serves as the fencing number of orders to the engines. For the
 * sidecars in [unreadable], the plan has a state that cannot be decoded.
 */
data class PoolPlan(
    val revision: Long,
    val engines: PersistentMap<HostAddress, EngineState>,
    val unreadable: PersistentSet<HostAddress> = persistentSetOf(),
) {
    companion object {
        /** Stands for a pool without a stored plan. */
        val NONE = PoolPlan(revision = 0, engines = persistentMapOf())
    }
}
