package org.acaciaflow.state.identity

/** What makes two calls the same request: the deployment and the key that its rules read from the call. */
data class RequestIdentity(
    val deployment: DeploymentName,
    val key: String,
)
