package org.acaciaflow.state.plan

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.HostAddress

/**
 * The desired states of the engines of one pool in one data centre, by the address of their sidecar.
 *
 * [revision] is the store revision of the plan, which also serves as the fencing number of orders to the engines.
 */
data class PoolPlan(
    val revision: Long,
    val engines: PersistentMap<HostAddress, EngineState>,
) {
    companion object {
        /** Stands for a pool without a stored plan. */
        val NONE = PoolPlan(revision = 0, engines = persistentMapOf())
    }
}
