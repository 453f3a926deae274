package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.TeamName

/** Rules for classifying and serving the calls of one team to one pool; the first matching work kind applies. */
data class Deployment(
    val name: DeploymentName,
    val team: TeamName,
    val pool: PoolName,
    val kinds: PersistentList<WorkKind>,
)
