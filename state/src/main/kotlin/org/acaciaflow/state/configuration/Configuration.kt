package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName

/** The operators' configuration of pools and deployments at one accepted revision. */
data class Configuration(
    val revision: Long,
    val pools: PersistentMap<PoolName, Pool>,
    val deployments: PersistentMap<DeploymentName, Deployment>,
) {
    companion object {
        /** Stands for the revision until a configuration has been loaded. */
        const val NO_REVISION = 0L

        val EMPTY = Configuration(NO_REVISION, persistentMapOf(), persistentMapOf())
    }
}
