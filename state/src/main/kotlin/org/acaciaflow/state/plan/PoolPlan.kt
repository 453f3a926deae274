package org.acaciaflow.state.plan

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.HostAddress

/**
 * The desired state of the engines of one pool in one data centre, by the address of their sidecar.
 *
 * [revision] is the store's revision of the plan; it serves as the engines' fencing number.
 */
data class PoolPlan(
    val revision: Long,
    val engines: PersistentMap<HostAddress, EngineState>,
) {
    companion object {
        /** The plan of a pool that nobody has planned yet. */
        val NONE = PoolPlan(revision = 0, engines = persistentMapOf())
    }
}
