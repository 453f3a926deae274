package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName

/** Everything the operators have decided, as of one accepted revision. */
data class Configuration(
    val revision: Long,
    val pools: PersistentMap<PoolName, Pool>,
    val deployments: PersistentMap<DeploymentName, Deployment>,
) {
    companion object {
        /** The revision of a process that has learned nothing yet. */
        const val NO_REVISION = 0L

        val EMPTY = Configuration(NO_REVISION, persistentMapOf(), persistentMapOf())
    }
}
