package org.acaciaflow.state.identity

/**
 * Identifies a non-idempotent request; calls with equal identities are deduplicated.
 *
 * [key] is derived from the call by the rules of its [deployment].
 */
data class RequestIdentity(
    val deployment: DeploymentName,
    val key: String,
)
