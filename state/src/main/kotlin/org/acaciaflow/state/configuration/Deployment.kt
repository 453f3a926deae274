package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.TeamName

/** How the calls of one team to one pool are recognised and served; the first matching kind applies. */
data class Deployment(
    val name: DeploymentName,
    val team: TeamName,
    val pool: PoolName,
    val kinds: PersistentList<WorkKind>,
)
