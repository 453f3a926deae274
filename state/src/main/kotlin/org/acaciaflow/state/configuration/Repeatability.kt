package org.acaciaflow.state.configuration

/** Whether a call may be executed more than once. */
sealed interface Repeatability {
    /** Idempotent: a retry on another backend server is safe. */
    data object Repeatable : Repeatability

    /** Non-idempotent: executed at most once for each identity derived from [identity]. */
    data class AtMostOnce(
        val identity: IdentitySource,
    ) : Repeatability
}
