package org.acaciaflow.state.work

import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.identity.TeamName
import org.acaciaflow.state.identity.WorkKindName
import kotlin.time.Instant

/**
 * The classification of a call under the current configuration.
 *
 * [atMostOnce] is set for a non-idempotent request only. [prefix] is a digest of the start of the prompt, used for
 * cache affinity.
 */
data class RequestProfile(
    val deployment: DeploymentName,
    val team: TeamName,
    val pool: PoolName,
    val kind: WorkKindName,
    val rank: Rank,
    val atMostOnce: RequestIdentity?,
    val estimate: WorkEstimate,
    val digest: RequestDigest,
    val prefix: RequestDigest?,
    val deadline: Instant,
)
